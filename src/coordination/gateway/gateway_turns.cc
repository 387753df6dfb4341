// Replicas whose rate is limited, and the requests that wait for a turn at one
// of them.
#include <algorithm>
#include <tuple>

#include "coordination/gateway/gateway_impl.h"
#include "text.h"

namespace acaciachute {

void Gateway::Impl::LogRateLimit(const ReplicaId& replica,
                                 std::string_view source) {
  const auto limit = replica_rate_limiter.statements().LimitOf(replica);
  metrics->Count("acaciachute_gateway_rate_limits_total");
  log->Write("rate_limit", {{"replica", replica.name},
                            {"life", replica.incarnation},
                            {"limited", limit.has_value()},
                            {"per_s", limit.value_or(0)},
                            {"source", source}});
}

std::vector<const ReplicaEntry*> Gateway::Impl::LimitedReplicas(
    const ServingRequest& request) const {
  const TimeUs now = output->Now();
  std::vector<const ReplicaEntry*> limited;
  for (const ReplicaEntry* it : directory->Of(request.service)) {
    if (replica_rate_limiter.IsRateLimited(now, *it) &&
        HasVersionFor(request, *it) &&
        std::find(request.tried.begin(), request.tried.end(), it->id) ==
            request.tried.end()) {
      limited.push_back(it);
    }
  }
  return limited;
}

// A cold replica has a turn again within a second. At replicas that state a
// limit or rest, the requests that already wait come first.
std::optional<TimeUs> Gateway::Impl::NextTurn(const ServingRequest& request) {
  const TimeUs now = output->Now();
  std::vector<TimeUs> turns;
  for (const ReplicaEntry* it : LimitedReplicas(request)) {
    if (!replica_rate_limiter.HasTurns(now, *it)) {
      return now;
    }
    const auto next = replica_rate_limiter.NextTurns(now, *it);
    turns.insert(turns.end(), next.begin(), next.end());
  }
  std::sort(turns.begin(), turns.end());
  std::size_t ahead = 0;
  for (const auto& [priority, received_at, id] : awaiting_limited_replica) {
    const ServingRequest* other = FindByExchange(id);
    const bool before = std::tie(priority, received_at) <
                        std::tie(request.priority, request.received_at);
    ahead += other != nullptr && before && other->service == request.service;
  }
  return ahead < turns.size() ? std::optional(turns[ahead]) : std::nullopt;
}

bool Gateway::Impl::HasNoTurn(const ServingRequest& request,
                              LocalReply* refusal) {
  const TimeUs now = output->Now();
  const auto& replicas = directory->Of(request.service);
  const bool all_have_turns = std::all_of(
      replicas.begin(), replicas.end(), [&](const ReplicaEntry* it) {
        return replica_rate_limiter.HasTurns(now, *it);
      });
  if (replicas.empty() || !all_have_turns) {
    return false;
  }
  // Stages that have to run first leave time for a turn to come.
  const TimeUs latest =
      std::max(LatestTurn(request), now + request.progress.TimeLeft());
  const auto turn = NextTurn(request);
  if (turn && *turn <= std::min(latest, AnswerBy(request))) {
    return false;
  }
  *refusal = NoTurn(request, turn);
  return true;
}

// The end of a rest is known, so a request waits for it as long as it can still
// be answered. Turns at other limited replicas are taken by whoever comes
// first.
TimeUs Gateway::Impl::LatestTurn(const ServingRequest& request) const {
  const TimeUs now = output->Now();
  const auto limited = LimitedReplicas(request);
  const bool any_rests =
      std::any_of(limited.begin(), limited.end(), [&](const ReplicaEntry* it) {
        return replica_rate_limiter.rests().IsLimited(now, it->id);
      });
  return any_rests ? AnswerBy(request) - kEngineFirstEventTime
                   : now + kMaxLimitedReplicaWait;
}

// Another gateway may have a part of the limits that is free, or was not asked
// for rest. Without another one, the client is told when this gateway's next
// turn is.
LocalReply Gateway::Impl::NoTurn(const ServingRequest& request,
                                 std::optional<TimeUs> turn) {
  ReportShortOfTurns(request);
  const TimeUs now = output->Now();
  const DurationUs wait = turn && gateway_count == 1
                              ? std::max<DurationUs>(*turn - now, kMillisecond)
                              : kRetryElsewhereDelay;
  return {Refusal::kFull, Verdict::kNotRun, wait,
          StrCat("the replicas of ", request.service,
                 " state limits or rest, next turn in ",
                 turn ? (*turn - now) / kMillisecond : -1, " ms")};
}

void Gateway::Impl::ReportShortOfTurns(const ServingRequest& request) {
  const auto limited = LimitedReplicas(request);
  for (const ReplicaEntry* it : limited) {
    rate_loans.OnShort(output->Now(), it->id,
                       1 / static_cast<double>(limited.size()));
  }
}

// When every replica of a service is limited, each accepts only a few requests
// a second, or none for now. If the excess requests were refused, they would
// all be retried at the same time; instead they wait here in order until a
// replica accepts the next one.
void Gateway::Impl::AwaitLimitedReplica(ServingRequest* request) {
  if (request->awaits_limited_replica) {
    return;
  }
  ReportShortOfTurns(*request);
  request->awaits_limited_replica = true;
  awaiting_limited_replica.emplace(request->priority, request->received_at,
                                   request->id);
  log->Write("awaits_cold", {{"id", request->call.id},
                             {"service", request->service},
                             {"waiting", awaiting_limited_replica.size()}});
  SetExpiry(request, std::min(AnswerBy(*request), LatestTurn(*request)));
}

void Gateway::Impl::RetryAwaitingLimited() {
  // A copy, because sending may end requests.
  const auto waiting = awaiting_limited_replica;
  // Services whose replicas accept no more requests.
  std::set<std::string> full;
  for (const auto& [priority, received_at, id] : waiting) {
    ServingRequest* request = FindByExchange(id);
    if (request == nullptr || full.contains(request->service)) {
      continue;
    }
    const ReplicaEntry* replica = ChooseReplica(request);
    if (replica == nullptr) {
      full.insert(request->service);
      continue;
    }
    awaiting_limited_replica.erase({priority, received_at, id});
    request->awaits_limited_replica = false;
    SetExpiry(request, AnswerBy(*request));
    SendTo(request, *replica);
  }
}

}  // namespace acaciachute
