// What replicas state about themselves in their answers, and what follows for
// requests that were to be sent to them.
#include <utility>

#include "coordination/gateway/gateway_impl.h"
#include "text.h"

namespace acaciachute {
namespace {

// By field; a replica repeats in each answer what cannot be read.
constexpr DurationUs kUnreadableLinePeriod = kSecond;

}  // namespace

// A statement in an answer without proof counts, because acting on it once too
// often costs little. What such an answer does not state means nothing.
void Gateway::Impl::OnStatement(const ReplicaId& replica,
                                const ReplicaStatement& statement,
                                std::string_view request) {
  const TimeUs now = output->Now();
  if (statement.load) {
    capacity.OnStatement(now, replica, *statement.load);
  }
  for (const HttpField& it : statement.unreadable) {
    metrics->Count("acaciachute_gateway_statements_unreadable_total");
    TimeUs& next_line_at = next_unreadable_line_at[it.name];
    if (now < next_line_at) {
      continue;
    }
    next_line_at = now + kUnreadableLinePeriod;
    log->Write("statement_unreadable", {{"replica", replica.name},
                                        {"id", request},
                                        {"field", it.name},
                                        {"value", it.value}});
  }
  if (statement.leaving &&
      LearnLeaving(replica, {"answer", request, 0}) != LeavingOutcome::kKnown) {
    leaving_statements.OnAnswer(output->Now(), replica);
  }
  if (statement.refused) {
    OnRefusal(replica, statement, request);
  } else if (statement.proven) {
    replica_rate_limiter.refusals().OnAccepted(replica);
  }
  const bool states_rate = statement.max_rate ||
                           (statement.proven && !statement.max_rate_unreadable);
  if (states_rate && directory->Find(replica) != nullptr &&
      replica_rate_limiter.statements().OnAnswer(output->Now(), replica,
                                                 statement.max_rate)) {
    LogRateLimit(replica, "answer");
  }
}

void Gateway::Impl::OnRefusal(const ReplicaId& replica,
                              const ReplicaStatement& statement,
                              std::string_view request) {
  metrics->Count("acaciachute_gateway_replica_refusals_total",
                 statement.rest ? "asks_for_rest" : "asks_for_none");
  log->Write(
      "replica_refused",
      {{"replica", replica.name},
       {"life", replica.incarnation},
       {"id", request},
       {"rest_ms", statement.rest ? *statement.rest / kMillisecond : -1}});
  const TimeUs now = output->Now();
  if (statement.rest.value_or(0) > 0) {
    if (replica_rate_limiter.rests().OnRefused(now, replica, *statement.rest)) {
      RecallUnsent(replica, "the replica rests");
    }
  } else if (directory->Find(replica) != nullptr) {
    // Of a replica that is gone, nothing would end it.
    replica_rate_limiter.refusals().OnRefused(now, replica);
  }
}

// Logged once per incarnation: a replica that leaves says so in all its
// answers.
LeavingOutcome Gateway::Impl::LearnLeaving(const ReplicaId& replica,
                                           const StatementSource& source) {
  const TimeUs now = output->Now();
  const LeavingOutcome outcome = directory->OnLeavingStated(now, replica);
  if (outcome != LeavingOutcome::kKnown) {
    metrics->Count("acaciachute_gateway_leaving_stated_total", source.kind);
    log->Write("leaving_stated",
               {{"replica", replica.name},
                {"life", replica.incarnation},
                {"source", source.kind},
                {"id", source.request},
                {"age_ms", source.age / kMillisecond},
                {"outcome", Name(outcome)},
                {"list_ms", directory->Age(now) / kMillisecond}});
  }
  return outcome;
}

// Requests whose connection to the replica is still being made go elsewhere.
void Gateway::Impl::RecallUnsent(const ReplicaId& replica,
                                 std::string_view why) {
  for (const CallId call : CallsAt(replica)) {
    // Sending one request elsewhere may have ended this call's request.
    ServingRequest* request = FindByCall(call);
    if (request == nullptr || !output->CancelIfUnsent(call)) {
      continue;
    }
    log->Write(
        "recalled",
        {{"id", request->call.id}, {"replica", replica.name}, {"why", why}});
    ReportNotSent(request);
    EndAttempt(request);
    std::erase(request->tried, replica);
    StartAttempt(request);
  }
}

// Requests that are not at a replica yet and cannot be served any more would
// wait until their clients disconnect.
void Gateway::Impl::RefuseUnservable() {
  std::vector<ExchangeId> waiting;
  for (const auto& [id, request] : requests) {
    if (request->attempt.call == 0) {
      waiting.push_back(id);
    }
  }
  for (const ExchangeId id : waiting) {
    // Refusing a request may end others, so each is looked up again.
    ServingRequest* request = FindByExchange(id);
    LocalReply refusal;
    if (request != nullptr && HasNoReplica(*request, &refusal)) {
      Refuse(request, std::move(refusal));
    }
  }
}

}  // namespace acaciachute
