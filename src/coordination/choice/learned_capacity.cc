#include "coordination/choice/learned_capacity.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace acaciachute {
namespace {

// Observations as which the next longer memory, and the middle of the service,
// count.
constexpr double kLastingWeight = 1;
constexpr double kMiddleWeight = 2;
// Weight of an answer in the long memory: a slow moment, in which a replica
// gets few requests, must not keep it out for longer.
constexpr double kLastingShare = 0.1;
// A factor within a tenth of the middle is noise.
const double kIgnored = std::log(1.1);
const double kMostLog = std::log(8);
// A lasting factor by which a replica differs notably.
const double kNotable = std::log(4.0 / 3);
constexpr double kNotableWeight = 3;
constexpr double kNotableDeviations = 3;
// Time for which a service counts as uneven after it was seen to be.
constexpr DurationUs kUnevenTime = 60 * kSecond;
// Weight of the newest answer in a service's moving averages.
constexpr double kServiceWeight = 0.02;
// Factors are computed anew after this time.
constexpr DurationUs kFactorAge = 20 * kMillisecond;
constexpr double kMaxPeerWeight = 8;
constexpr std::size_t kMaxTold = 64;  // Peers whose counts are remembered.
constexpr std::size_t kFigureBytes = 15;
constexpr double kLoggedChange = 1.25;
constexpr DurationUs kLogPeriod = 100 * kMillisecond;
constexpr DurationUs kReplicaLogPeriod = 2 * kSecond;

double Ms(DurationUs time) {
  return static_cast<double>(time) / kMillisecond;
}

// Small differences count as none, so that equal replicas stay equal.
double WithoutNoise(double value) {
  if (std::abs(value) <= kIgnored) {
    return 0;
  }
  return value > 0 ? value - kIgnored : value + kIgnored;
}

// Start values: 100 tokens a millisecond, and a request in progress costs as
// much as reading 45 tokens, with 48 slots.
WorkFit StartOfTime(bool engine) {
  return engine ? WorkFit({20, 10, 10, 45, 0}, {50, 20, 20, 200, 1})
                : WorkFit({20, 0, 0, 20, 20}, {50, 1, 1, 50, 100});
}

WorkFit StartOfPause() {
  return {{10, 0, 0, 20, 0}, {30, 1, 1, 200, 1}};
}

}  // namespace

LearnedCapacity::Service::Service()
    : time(StartOfTime(false)), pause(StartOfPause()) {}

LearnedCapacity::LearnedCapacity(const ReplicaDirectory* directory,
                                 Metrics* metrics,
                                 EventLog* log)
    : directory_(directory), metrics_(metrics), log_(log) {}

std::uint64_t LearnedCapacity::DigestOf(const ReplicaId& replica) {
  return XXH3_64bits_withSeed(replica.name.data(), replica.name.size(),
                              replica.incarnation);
}

LearnedCapacity::State* LearnedCapacity::Find(const ReplicaId& replica) {
  const auto it = states_.find(replica);
  return it == states_.end() ? nullptr : &it->second;
}

const LearnedCapacity::State* LearnedCapacity::Find(
    const ReplicaId& replica) const {
  const auto it = states_.find(replica);
  return it == states_.end() ? nullptr : &it->second;
}

LearnedCapacity::State* LearnedCapacity::Insert(const ReplicaId& replica) {
  if (State* known = Find(replica)) {
    return known;
  }
  const ReplicaEntry* entry = directory_->Find(replica);
  if (entry == nullptr) {
    return nullptr;
  }
  State& state = states_[replica];
  state.id = replica;
  state.service = entry->service;
  by_digest_[DigestOf(replica)] = &state;
  return &state;
}

LearnedCapacity::Service& LearnedCapacity::ServiceOf(const State& state) {
  return services_[state.service];
}

const LearnedCapacity::Service* LearnedCapacity::Find(
    TimeUs now,
    const std::string& service) const {
  const auto it = services_.find(service);
  const bool known = it != services_.end() && now < it->second.differs_until &&
                     it->second.time.observations() >= kMinAnswers;
  return known ? &it->second : nullptr;
}

double LearnedCapacity::Lasting(TimeUs now, const State& state, bool crowded) {
  const double calm =
      state.calm.lasting.LeaningOn(ServiceOf(state).middle, kMiddleWeight, now);
  return crowded ? state.crowded.lasting.LeaningOn(calm, kMiddleWeight, now)
                 : calm;
}

// What crowding costs lasts, and is added to the present pace: a replica that
// was slow for a moment is else taken for slow when crowded long afterwards, as
// it gets too few requests to be seen crowded.
double LearnedCapacity::Estimate(TimeUs now, const State& state, bool crowded) {
  const double calm = state.calm.recent.LeaningOn(Lasting(now, state, false),
                                                  kLastingWeight, now);
  if (!crowded) {
    return calm;
  }
  const double cost = Lasting(now, state, true) - Lasting(now, state, false);
  return state.crowded.recent.LeaningOn(calm + cost, kLastingWeight, now);
}

double LearnedCapacity::FactorOf(TimeUs now,
                                 State* state,
                                 const ReplicaWork& work) {
  if (now - state->factors_at > kFactorAge) {
    state->factors_at = now;
    const double middle = ServiceOf(*state).middle;
    for (const bool crowded : {false, true}) {
      state->factors[crowded ? 1 : 0] = std::exp(
          middle + WithoutNoise(Estimate(now, *state, crowded) - middle));
    }
  }
  return state->factors[work.Share() > kCrowdedShare ? 1 : 0];
}

double LearnedCapacity::StatedPace(TimeUs now, const State& state) {
  const double slower = state.stated.pace.value_or(1) - 1;
  if (slower <= 0) {
    return 1;
  }
  return 1 + slower * std::exp(-static_cast<double>(now - state.stated_at) /
                               static_cast<double>(kStatedPaceDecay));
}

double LearnedCapacity::ExpectedMs(TimeUs now,
                                   const Service& service,
                                   const ReplicaId& replica,
                                   const ReplicaWork& work) {
  const double usual = service.time.Predict(work);
  State* state = Find(replica);
  return state == nullptr
             ? usual * std::exp(service.middle)
             : usual * FactorOf(now, state, work) * StatedPace(now, *state);
}

double LearnedCapacity::ExpectedPauseMs(TimeUs now,
                                        const Service& service,
                                        const ReplicaId& replica,
                                        const ReplicaWork& work) {
  const double usual = service.pause.Predict(work);
  State* state = Find(replica);
  return state == nullptr ? usual * std::exp(service.middle)
                          : usual * FactorOf(now, state, work);
}

double LearnedCapacity::StatedInProgress(TimeUs now,
                                         const ReplicaId& replica) const {
  const State* state = Find(replica);
  if (state == nullptr || now - state->stated_at > kStatedLoadAge) {
    return 0;
  }
  return static_cast<double>(state->stated.running) + state->stated.waiting +
         state->sent_since;
}

bool LearnedCapacity::IsFull(TimeUs now, const ReplicaId& replica) const {
  const double in_progress = StatedInProgress(now, replica);
  return in_progress > 0 && in_progress >= Find(replica)->stated.slots;
}

void LearnedCapacity::OnStatement(TimeUs now,
                                  const ReplicaId& replica,
                                  const StatedLoad& load) {
  State* state = Insert(replica);
  if (state == nullptr) {
    return;
  }
  state->stated = load;
  state->stated_at = now;
  state->sent_since = 0;
  if (load.pace) {
    ServiceOf(*state).differs_until = now + kUnevenTime;
  }
}

void LearnedCapacity::OnSent(const ReplicaId& replica) {
  if (State* state = Find(replica)) {
    ++state->sent_since;
  }
}

void LearnedCapacity::Put(TimeUs at,
                          State* state,
                          bool crowded,
                          double value,
                          double weight) {
  Memory& memory = crowded ? state->crowded : state->calm;
  memory.recent.Add(at, value, weight);
  memory.lasting.Add(at, value, kLastingShare * weight);
}

// Returns the logarithm of the observed over the expected time. A replica that
// states to be slow and answers as usual is not taken for a fast one: else it
// would draw load once its statement has faded.
double LearnedCapacity::Learn(TimeUs now,
                              State* state,
                              WorkFit* fit,
                              const ReplicaWork& work,
                              double ms) {
  Service& service = ServiceOf(*state);
  const bool crowded = work.Share() > kCrowdedShare;
  const double expected = fit->Predict(work);
  const double at_usual_pace =
      std::max(ms / StatedPace(now, *state), std::min(ms, expected));
  const double lasting = Lasting(now, *state, crowded);
  fit->Add(work, at_usual_pace / std::exp(lasting - service.middle));
  const double value = std::clamp(
      std::log(std::max(at_usual_pace, 0.01) / expected), -kMostLog, kMostLog);
  service.deviation +=
      kServiceWeight * (std::abs(value - lasting) - service.deviation);
  service.middle += kServiceWeight * (lasting - service.middle);
  return value;
}

void LearnedCapacity::OnAnswer(TimeUs now,
                               const ReplicaId& replica,
                               const ReplicaWork& work,
                               DurationUs time) {
  State* state = Insert(replica);
  if (state == nullptr) {
    return;
  }
  Service& service = ServiceOf(*state);
  if (service.time.observations() == 0) {
    service.time = StartOfTime(work.read_tokens > 0);
  }
  service.in_progress +=
      kServiceWeight * (work.in_progress - service.in_progress);
  const double value = Learn(now, state, &service.time, work, Ms(time));
  // The fit is not a measure of a replica before it has settled.
  if (service.time.observations() < kMinAnswers) {
    return;
  }
  PutOwn(now, 0, state, work, value);
}

void LearnedCapacity::OnStreamEnded(TimeUs now,
                                    const ReplicaId& replica,
                                    const ReplicaWork& work,
                                    std::size_t events,
                                    DurationUs time) {
  State* state = Find(replica);
  if (state == nullptr || events < 2) {
    return;
  }
  Service& service = ServiceOf(*state);
  const double pause = Ms(time) / static_cast<double>(events - 1);
  service.stream_ms += kServiceWeight * (Ms(time) - service.stream_ms);
  const double value = Learn(now, state, &service.pause, work, pause);
  if (service.pause.observations() >= kMinAnswers) {
    PutOwn(now, time / 2, state, work, value);
  }
}

void LearnedCapacity::PutOwn(TimeUs now,
                             DurationUs age,
                             State* state,
                             const ReplicaWork& work,
                             double value) {
  state->last_crowded = work.Share() > kCrowdedShare;
  Put(now - age, state, state->last_crowded, value, 1);
  Memory& memory = state->last_crowded ? state->crowded : state->calm;
  memory.own.Add(now - age, value, 1);
  ++state->answers;
  std::erase(latest_, state);
  latest_.push_front(state);
  if (latest_.size() > kMaxPerHeartbeat) {
    latest_.pop_back();
  }
  turns_[DigestOf(state->id)] = state;
  Review(now, state);
}

void LearnedCapacity::Review(TimeUs now, State* state) {
  Service& service = ServiceOf(*state);
  const double seen = state->calm.lasting.WeightAt(now);
  const double lasting = Lasting(now, *state, false);
  const double noise = kNotableDeviations * service.deviation /
                       std::sqrt(std::max(seen / kLastingShare, 1.0));
  const double differs = std::abs(lasting - service.middle);
  if (seen >= kNotableWeight && differs > kNotable + noise) {
    service.differs_until = now + kUnevenTime;
  }
  const bool crowded = state->last_crowded;
  const double factor =
      std::exp(Estimate(now, *state, crowded) - service.middle);
  const double change = factor / state->logged_factor;
  if ((change < kLoggedChange && change > 1 / kLoggedChange) ||
      now < next_log_at_ || now - state->logged_at < kReplicaLogPeriod) {
    return;
  }
  next_log_at_ = now + kLogPeriod;
  state->logged_at = now;
  const ReplicaWork alone{0, 0, 0, 1};
  metrics_->Count("acaciachute_gateway_replica_pace_changes_total",
                  state->service);
  log_->Write(
      "replica_pace",
      {{"replica", state->id.name},
       {"life", state->id.incarnation},
       {"service", state->service},
       {"factor", factor},
       {"before", state->logged_factor},
       {"crowded", crowded},
       {"lasting", std::exp(Lasting(now, *state, crowded) - service.middle)},
       {"answers", seen},
       {"stated_pace", state->stated.pace.value_or(0)},
       {"stated_age_ms", state->stated_at == kNever
                             ? -1
                             : (now - state->stated_at) / kMillisecond},
       {"usual_ms", service.time.Predict(alone)},
       {"in_use", now < service.differs_until}});
  state->logged_factor = factor;
}

void LearnedCapacity::OnReplicaRemoved(const ReplicaId& replica) {
  State* state = Find(replica);
  if (state == nullptr) {
    return;
  }
  std::erase(latest_, state);
  turns_.erase(DigestOf(replica));
  by_digest_.erase(DigestOf(replica));
  states_.erase(replica);
}

std::size_t LearnedCapacity::FiguresPerHeartbeat(std::size_t peers,
                                                 DurationUs period) {
  if (peers == 0) {
    return 0;
  }
  const double heartbeats = static_cast<double>(peers) *
                            static_cast<double>(kSecond) /
                            static_cast<double>(period);
  const auto figures = static_cast<std::size_t>(
      static_cast<double>(kTellBytesPerSecond) /
      (heartbeats * static_cast<double>(kFigureBytes)));
  return std::clamp<std::size_t>(figures, 1, kMaxPerHeartbeat);
}

std::vector<ReplicaPace> LearnedCapacity::ToTell(TimeUs now,
                                                 std::size_t figures) {
  std::vector<ReplicaPace> told;
  const auto add = [&](const State& state) {
    const Memory& memory = state.last_crowded ? state.crowded : state.calm;
    const DurationUs age_ms = (now - memory.own.newest_at()) / kMillisecond;
    constexpr double kPercent = 100;
    told.push_back(
        {DigestOf(state.id), state.last_crowded, state.answers,
         static_cast<std::uint16_t>(
             std::lround(kPercent * std::exp(memory.own.value()))),
         static_cast<std::uint16_t>(std::clamp<DurationUs>(
             age_ms, 0, std::numeric_limits<std::uint16_t>::max()))});
  };
  for (const State* it : latest_) {
    if (told.size() < figures) {
      add(*it);
    }
  }
  for (std::size_t n = 0; n < turns_.size() && told.size() < figures; ++n) {
    auto it = turns_.lower_bound(next_turn_);
    it = it == turns_.end() ? turns_.begin() : it;
    next_turn_ = it->first + 1;
    if (std::find(latest_.begin(), latest_.end(), it->second) ==
        latest_.end()) {
      add(*it->second);
    }
  }
  return told;
}

// The count of answers tells what is new since the last figure of that gateway,
// however many heartbeats were lost between them.
void LearnedCapacity::OnPeerPace(TimeUs now,
                                 const NodeId& from,
                                 const ReplicaPace& pace) {
  const auto it = by_digest_.find(pace.replica);
  if (it == by_digest_.end() || pace.percent == 0) {
    return;
  }
  State* state = it->second;
  const std::uint64_t peer = XXH3_64bits(from.data(), from.size());
  auto known =
      std::find_if(state->told.begin(), state->told.end(),
                   [&](const Told& told) { return told.peer == peer; });
  double weight = 1;
  if (known == state->told.end()) {
    if (state->told.size() >= kMaxTold) {
      state->told.erase(state->told.begin());
    }
    state->told.push_back({peer, pace.answers});
  } else {
    weight = static_cast<std::uint16_t>(pace.answers - known->answers);
    known->answers = pace.answers;
  }
  if (weight == 0) {
    return;
  }
  constexpr double kPercent = 100;
  const double value =
      std::clamp(std::log(pace.percent / kPercent), -kMostLog, kMostLog);
  Put(now - pace.age_ms * kMillisecond, state, pace.crowded, value,
      std::min(weight, kMaxPeerWeight));
  Review(now, state);
}

}  // namespace acaciachute
