// Requests of which copies ended replicas at the same time: one copy at a time
// is sent, in the whole fleet, until an answer or more ends show what they are.
#include <algorithm>
#include <utility>

#include "coordination/gateway/gateway_impl.h"

namespace acaciachute {
namespace {

// A request is held for a trial as long as that leaves this much time for its
// answer, or half of its time if it has less.
constexpr DurationUs kAnswerTime = 500 * kMillisecond;

}  // namespace

std::optional<CrashCause> Gateway::Impl::DoubtfulRequest(
    ServingRequest* request) const {
  if (!crash_records.HasRequestOf(AccountOf(*request))) {
    return std::nullopt;
  }
  for (CrashCause& it : RequestCauses(request)) {
    const auto verdict = crash_records.Of(output->Now(), it);
    if (verdict.blocked && verdict.doubtful) {
      return std::move(it);
    }
  }
  return std::nullopt;
}

bool Gateway::Impl::MaySendInDoubt(ServingRequest* request) {
  const TimeUs now = output->Now();
  const std::optional<CrashCause> cause = DoubtfulRequest(request);
  if (!cause || request_trials.MaySend(request->id)) {
    return true;
  }
  if (!request_trials.Ask(now, cause->id, request->id)) {
    return false;
  }
  log->Write("cause_trial",
             {{"id", request->call.id},
              {"cause", Text(*cause)},
              {"ends", crash_records.Of(now, *cause).ends},
              {"waited_ms", (now - request->received_at) / kMillisecond}});
  return true;
}

void Gateway::Impl::AwaitTrial(ServingRequest* request) {
  if (!awaiting_trial.insert(request->id).second) {
    return;
  }
  log->Write("awaits_trial", {{"id", request->call.id},
                              {"fingerprint", FingerprintOf(request)},
                              {"waiting", awaiting_trial.size()}});
  const DurationUs left = AnswerBy(*request) - output->Now();
  SetExpiry(request, output->Now() + std::max(left / 2, left - kAnswerTime));
}

void Gateway::Impl::RetryAwaitingTrial() {
  // A copy, because sending may end requests.
  const auto waiting = awaiting_trial;
  for (const ExchangeId id : waiting) {
    ServingRequest* request = FindByExchange(id);
    if (request == nullptr || !MaySendInDoubt(request)) {
      continue;
    }
    awaiting_trial.erase(id);
    SetExpiry(request, AnswerBy(*request));
    StartAttempt(request);
  }
}

}  // namespace acaciachute
