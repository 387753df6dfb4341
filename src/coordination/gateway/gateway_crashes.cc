// Replicas that end while requests are in progress there.
#include <algorithm>

#include "coordination/gateway/gateway_impl.h"
#include "state/request_fingerprint.h"

namespace acaciachute {

const std::string& Gateway::Impl::FingerprintOf(ServingRequest* request) const {
  if (request->fingerprint.empty()) {
    request->fingerprint = RequestFingerprint(
        request->account != nullptr ? request->account->name : "",
        request->call);
  }
  return request->fingerprint;
}

// What ends at a replica that leaves, or that is not listed any more, ends as
// planned.
void Gateway::Impl::OnBroken(ServingRequest* request) {
  const ReplicaId& replica = request->attempt.replica.id;
  const ReplicaEntry* listed = directory->Find(replica);
  if (listed == nullptr || listed->leaving) {
    return;
  }
  const BrokenAttempt attempt = {
      FingerprintOf(request),
      request->account != nullptr ? request->account->name : "",
      request->call.id};
  broken_attempts.OnBroken(output->Now(), replica, attempt);
}

void Gateway::Impl::ProbeBroken() {
  for (const ReplicaId& replica : broken_attempts.TakeProbes(output->Now())) {
    if (const ReplicaEntry* it = directory->Find(replica)) {
      output->ProbeReplica(replica, it->address);
    }
  }
}

void Gateway::Impl::OnReplicaEnded(const ReplicaId& replica,
                                   std::string_view evidence) {
  const TimeUs now = output->Now();
  const auto attempts = broken_attempts.OnReplicaEnded(now, replica);
  if (attempts.empty()) {
    return;
  }
  metrics->Count("acaciachute_gateway_replica_ends_total", evidence);
  log->Write("replica_ended",
             {{"replica", replica.name},
              {"life", replica.incarnation},
              {"evidence", evidence},
              {"in_progress", attempts.size()},
              {"after_ms", (now - attempts.front().broken_at) / kMillisecond}});
}

void Gateway::OnReplicaProbed(const ReplicaId& replica,
                              ProbeOutcome outcome,
                              TimeUs sent_at) {
  impl_->log->Write("replica_probed", {{"replica", replica.name},
                                       {"life", replica.incarnation},
                                       {"outcome", Name(outcome)}});
  if (outcome == ProbeOutcome::kAccepted) {
    impl_->broken_attempts.OnReplicaAlive(replica, sent_at);
  } else if (outcome == ProbeOutcome::kRefused) {
    impl_->OnReplicaEnded(replica, "refused");
  }
}

}  // namespace acaciachute
