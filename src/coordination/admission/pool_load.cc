#include "coordination/admission/pool_load.h"

#include <algorithm>

namespace acaciachute {
namespace {

// Weight of the newest answer in the moving average of the urgent share: at 40
// answers per second, the average covers the last second and a half.
constexpr double kUrgentShareWeight = 1.0 / 64;

// Minimum share of the rate that patient work gets: what the sidecars' queues
// guarantee it (one start in seventeen).
constexpr double kMinPatientShare = 1.0 / 17;

// With fewer own calls than this, the ratio of all work to own work is not
// meaningful.
constexpr std::int64_t kMinOwnCalls = 4;
// Limit on the ratio of all entries' work to own work. Few entries share a pool
// at present, and where there are more, each uses a subset of the pool.
constexpr double kMaxWorkRatio = 8;

}  // namespace

void PoolLoad::Update(Replica* replica) {
  ReplicaLoad& counted = replica->counted;
  const auto apply = [this](const ReplicaLoad& it, int sign) {
    replicas_ += sign * (it.slots > 0 ? 1 : 0);
    slots_ += sign * it.slots;
    known_slots_ += sign * it.known_slots;
    scaled_rate_ += sign * it.rate;
    others_ += sign * it.others;
    others_urgent_ += sign * it.others_urgent;
    own_ += sign * it.own;
    own_urgent_ += sign * it.own_urgent;
  };
  apply(counted, -1);
  counted = {};
  if (replica->TakesWork()) {
    const LoadReport& load = replica->load;
    counted.slots = std::max<std::int64_t>(1, load.limit);
    // A replica without a known service time counts as fast as the others. If
    // no replica of the pool has one, the wait is unknown and no request is
    // refused for it.
    if (load.service_us > 0) {
      counted.known_slots = counted.slots;
      counted.rate = static_cast<std::int64_t>(
          static_cast<double>(counted.slots) * kRateScale * kSecond /
          static_cast<double>(load.service_us));
    }
    counted.others = replica->OthersWork();
    counted.others_urgent = replica->OthersUrgent();
    counted.own = replica->own_in_progress;
    counted.own_urgent = replica->own_urgent;
  }
  apply(counted, 1);
}

void PoolLoad::Clear() {
  replicas_ = slots_ = known_slots_ = scaled_rate_ = others_ = others_urgent_ =
      own_ = own_urgent_ = 0;
}

void PoolLoad::OnAnswer(CallerClass caller_class) {
  const double urgent = caller_class == CallerClass::kUrgent ? 1 : 0;
  urgent_share_ += (urgent - urgent_share_) * kUrgentShareWeight;
}

double PoolLoad::WorkRatio() const {
  if (own_ < kMinOwnCalls) {
    return 1;
  }
  return std::min(kMaxWorkRatio, static_cast<double>(own_ + others_) /
                                     static_cast<double>(own_));
}

double PoolLoad::CallTime() const {
  if (!known()) {
    return 0;
  }
  const double known_share =
      static_cast<double>(known_slots_) / static_cast<double>(slots_);
  return kSecond * kRateScale * known_share / static_cast<double>(scaled_rate_);
}

DurationUs PoolLoad::Wait(CallerClass caller_class) const {
  if (!known()) {
    return 0;
  }
  const double work_ratio = WorkRatio();
  const double urgent =
      static_cast<double>(own_urgent_ + others_urgent_) +
      work_ratio *
          static_cast<double>(
              pending_[static_cast<std::size_t>(CallerClass::kUrgent)]);
  const double all =
      static_cast<double>(own_ + others_) +
      work_ratio * static_cast<double>(pending_[0] + pending_[1]);
  const auto slots = static_cast<double>(slots_);
  if (caller_class == CallerClass::kUrgent) {
    // If all slots are in use, an urgent call gets the next slot that is
    // released.
    const double slot_wait =
        all >= slots ? CallTime() * static_cast<double>(replicas_) : 0;
    return static_cast<DurationUs>(
        std::max(0.0, urgent + 1 - slots) * CallTime() + slot_wait);
  }
  const double patient_share = std::max(kMinPatientShare, 1 - urgent_share_);
  return static_cast<DurationUs>(std::max(0.0, all + 1 - slots) * CallTime() /
                                 patient_share);
}

DurationUs PoolLoad::MeanService() const {
  return static_cast<DurationUs>(CallTime() * static_cast<double>(slots_));
}

}  // namespace acaciachute
