#include "coordination/admission/pool_load.h"

#include <algorithm>

namespace acaciachute {
namespace {

// The newest answers' weight in the share of urgent work: at 40 answers a
// second, the last second and a half.
constexpr double kShareWeight = 1.0 / 64;

// Patient work keeps at least this share of the rate; it is what the sidecars'
// queues grant it (one start in seventeen).
constexpr double kPatientFloor = 1.0 / 17;

// Own work below this says nothing about the share of others.
constexpr std::int64_t kFewCalls = 4;
// Largest factor from own to all entries' work; a few thin entries share a pool
// today, and a pool is cut into subsets where there are more.
constexpr double kMostPerOwn = 8;

}  // namespace

void PoolLoad::Update(Replica* replica) {
  ReplicaLoad& counted = replica->counted;
  const auto apply = [this](const ReplicaLoad& it, int sign) {
    replicas_ += sign * (it.slots > 0 ? 1 : 0);
    slots_ += sign * it.slots;
    known_slots_ += sign * it.known_slots;
    rate_ += sign * it.rate;
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
    // A replica that has answered nothing yet counts as fast as the others; a
    // pool of such is not known, and nobody is refused for it.
    if (load.service_us > 0) {
      counted.known_slots = counted.slots;
      counted.rate = static_cast<std::int64_t>(
          static_cast<double>(counted.slots) * kScale * kSecond /
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
  replicas_ = slots_ = known_slots_ = rate_ = others_ = others_urgent_ = own_ =
      own_urgent_ = 0;
}

void PoolLoad::OnAnswer(CallerClass caller_class) {
  const double urgent = caller_class == CallerClass::kUrgent ? 1 : 0;
  urgent_share_ += (urgent - urgent_share_) * kShareWeight;
}

double PoolLoad::AllPerOwn() const {
  if (own_ < kFewCalls) {
    return 1;
  }
  return std::min(kMostPerOwn, static_cast<double>(own_ + others_) /
                                   static_cast<double>(own_));
}

double PoolLoad::CallTime() const {
  if (!known()) {
    return 0;
  }
  const double known_share =
      static_cast<double>(known_slots_) / static_cast<double>(slots_);
  return kSecond * kScale * known_share / static_cast<double>(rate_);
}

DurationUs PoolLoad::Wait(CallerClass caller_class) const {
  if (!known()) {
    return 0;
  }
  const double per_own = AllPerOwn();
  const double urgent =
      static_cast<double>(own_urgent_ + others_urgent_) +
      per_own * static_cast<double>(
                    pending_[static_cast<std::size_t>(CallerClass::kUrgent)]);
  const double all = static_cast<double>(own_ + others_) +
                     per_own * static_cast<double>(pending_[0] + pending_[1]);
  const auto slots = static_cast<double>(slots_);
  if (caller_class == CallerClass::kUrgent) {
    // When patient work fills the slots, the next one that ends is ours.
    const double quantum =
        all >= slots ? CallTime() * static_cast<double>(replicas_) : 0;
    return static_cast<DurationUs>(
        std::max(0.0, urgent + 1 - slots) * CallTime() + quantum);
  }
  const double left = std::max(kPatientFloor, 1 - urgent_share_);
  return static_cast<DurationUs>(std::max(0.0, all + 1 - slots) * CallTime() /
                                 left);
}

DurationUs PoolLoad::MeanService() const {
  return static_cast<DurationUs>(CallTime() * static_cast<double>(slots_));
}

}  // namespace acaciachute
