// What replicas state about themselves in their answers.
#include "coordination/gateway/gateway_impl.h"

namespace acaciachute {

// A statement in an answer without proof counts, because acting on it once too
// often costs little. What such an answer does not state means nothing.
void Gateway::Impl::OnStatement(const ReplicaId& replica,
                                const ReplicaStatement& statement,
                                std::string_view request) {
  for (const HttpField& it : statement.unreadable) {
    log->Write("statement_unreadable", {{"replica", replica.name},
                                        {"id", request},
                                        {"field", it.name},
                                        {"value", it.value}});
  }
  if (statement.leaving) {
    OnLeavingStated(replica, request);
  }
  const bool states_rate = statement.max_rate ||
                           (statement.proven && !statement.max_rate_unreadable);
  if (states_rate && directory->Find(replica) != nullptr &&
      replica_rate_limiter.statements().OnAnswer(output->Now(), replica,
                                                 statement.max_rate)) {
    LogRateLimit(replica, "answer");
  }
}

// Logged once per incarnation: a replica that leaves says so in all its
// answers.
void Gateway::Impl::OnLeavingStated(const ReplicaId& replica,
                                    std::string_view request) {
  if (!stated_leaving.insert(replica).second) {
    return;
  }
  const ReplicaEntry* entry = directory->Find(replica);
  metrics->Count("acaciachute_gateway_leaving_stated_total");
  log->Write("leaving_stated",
             {{"replica", replica.name},
              {"life", replica.incarnation},
              {"source", "answer"},
              {"id", request},
              {"listed", entry != nullptr},
              {"listed_leaving", entry != nullptr && entry->leaving},
              {"list_ms", directory->Age(output->Now()) / kMillisecond}});
}

}  // namespace acaciachute
