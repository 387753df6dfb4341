// Replicas that end while requests are in progress there, and requests that are
// refused because replicas ended under them again and again.
#include <algorithm>
#include <utility>

#include "coordination/gateway/gateway_impl.h"
#include "state/request_fingerprint.h"
#include "text.h"

namespace acaciachute {

const std::string& Gateway::Impl::FingerprintOf(ServingRequest* request) const {
  if (request->fingerprint.empty()) {
    request->fingerprint = RequestFingerprint(
        request->account != nullptr ? request->account->name : "",
        request->call);
  }
  return request->fingerprint;
}

// For logs, so of limited length.
std::string Gateway::Impl::PartIds(const ClientRequest& call) {
  constexpr std::size_t kMaxParts = 12;
  constexpr std::size_t kMaxIdLength = 24;
  std::string ids;
  for (std::size_t n = 0; n < std::min(call.prompt.size(), kMaxParts); ++n) {
    ids += StrCat(n == 0 ? "" : ",", call.prompt[n].id.substr(0, kMaxIdLength));
  }
  return call.prompt.size() > kMaxParts ? StrCat(ids, ",...") : ids;
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
      request->call.id,
      PartIds(request->call),
      request->attempt.first_event_received,
      request->attempt.sent_at};
  if (broken_attempts.OnBroken(output->Now(), replica, attempt)) {
    OnEndedUnder(replica, attempt, output->Now());
  }
}

void Gateway::Impl::OnEndedUnder(const ReplicaId& replica,
                                 const BrokenAttempt& attempt,
                                 TimeUs ended_at) {
  const TimeUs now = output->Now();
  const bool was_blocked = crash_records.Of(now, attempt.fingerprint).blocked;
  if (!crash_records.OnReplicaEnded(now, {attempt.began_at, ended_at},
                                    attempt.fingerprint, attempt.account,
                                    replica)) {
    return;
  }
  const auto verdict = crash_records.Of(now, attempt.fingerprint);
  log->Write("ended_under", {{"id", attempt.request},
                             {"fingerprint", attempt.fingerprint},
                             {"account", attempt.account},
                             {"replica", replica.name},
                             {"life", replica.incarnation},
                             {"parts", attempt.parts},
                             {"begun", attempt.begun},
                             {"ends", verdict.ends},
                             {"blocked", verdict.blocked}});
  constexpr std::size_t kMaxSeen = 4096;
  if (seen_crashing.size() >= kMaxSeen) {
    seen_crashing.clear();
  }
  seen_crashing.insert(attempt.fingerprint);
  ReportChange(attempt.fingerprint, was_blocked);
}

void Gateway::Impl::ReportChange(const std::string& fingerprint,
                                 bool was_blocked) {
  const TimeUs now = output->Now();
  const auto verdict = crash_records.Of(now, fingerprint);
  crash_changes.push_back(
      {crash_records.Get(now, fingerprint), was_blocked || verdict.blocked});
  if (was_blocked != verdict.blocked) {
    metrics->Count("acaciachute_gateway_blocked_requests_total",
                   verdict.blocked ? "blocked" : "lifted");
    log->Write("crash_verdict",
               {{"fingerprint", fingerprint},
                {"blocked", verdict.blocked},
                {"ends", verdict.ends},
                {"last_end_ms", verdict.last_end_age / kMillisecond}});
  }
  if (verdict.blocked) {
    RefuseBlocked();
  }
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
  const auto begun = static_cast<std::size_t>(
      std::count_if(attempts.begin(), attempts.end(),
                    [](const BrokenAttempt& it) { return it.begun; }));
  metrics->Count("acaciachute_gateway_ended_under_total", "begun", begun);
  metrics->Count("acaciachute_gateway_ended_under_total", "waiting",
                 attempts.size() - begun);
  log->Write("replica_ended",
             {{"replica", replica.name},
              {"life", replica.incarnation},
              {"evidence", evidence},
              {"in_progress", attempts.size()},
              {"begun", begun},
              {"after_ms", (now - attempts.front().broken_at) / kMillisecond}});
  for (const BrokenAttempt& it : attempts) {
    OnEndedUnder(replica, it, it.broken_at);
  }
}

// Whether the request shares its account with any that has a record.
bool Gateway::Impl::MayHaveRecord(const ServingRequest& request) const {
  return crash_records.HasAccount(
      request.account != nullptr ? request.account->name : "");
}

bool Gateway::Impl::IsBlocked(ServingRequest* request,
                              LocalReply* refusal) const {
  if (!MayHaveRecord(*request)) {
    return false;
  }
  const std::string& fingerprint = FingerprintOf(request);
  const auto verdict = crash_records.Of(output->Now(), fingerprint);
  if (!verdict.blocked) {
    return false;
  }
  *refusal = {Refusal::kCrashesReplicas, Verdict::kNotRun, 0,
              StrCat("fingerprint ", fingerprint, ": ", verdict.ends,
                     " replicas ended under this request, the last one ",
                     verdict.last_end_age / kSecond, " s ago; refused for ",
                     verdict.blocked_for / kSecond,
                     " s more, unless an operator lifts it")};
  return true;
}

bool Gateway::Impl::MayCrashReplicas(ServingRequest* request) const {
  return MayHaveRecord(*request) &&
         crash_records.Of(output->Now(), FingerprintOf(request)).ends >=
             CrashRecords::kMaxEndsToRepeat;
}

// Also without a record: of a request that is known to have been answered, a
// series of ends tells less. Fingerprints of large bodies take too long for
// that.
void Gateway::Impl::OnAnsweredWhole(ServingRequest* request) {
  constexpr std::size_t kMaxRememberedBody = 64 << 10;
  if (!MayHaveRecord(*request) &&
      request->call.body.size() > kMaxRememberedBody) {
    return;
  }
  const TimeUs now = output->Now();
  const std::string& fingerprint = FingerprintOf(request);
  const bool was_blocked = crash_records.Of(now, fingerprint).blocked;
  if (crash_records.OnAnswered(now, fingerprint)) {
    LogTakenBack(fingerprint, request->call.id, was_blocked);
    ReportChange(fingerprint, was_blocked);
  }
}

// `request`: the one that was answered; empty: an operator lifts the block.
void Gateway::Impl::LogTakenBack(const std::string& fingerprint,
                                 std::string_view request,
                                 bool was_blocked) {
  log->Write("ends_taken_back",
             {{"id", request},
              {"fingerprint", fingerprint},
              {"why", request.empty() ? "operator" : "answered"},
              {"was_blocked", was_blocked}});
}

void Gateway::Impl::RefuseBlocked() {
  std::vector<ExchangeId> ids;
  for (const auto& [id, request] : requests) {
    ids.push_back(id);
  }
  for (const ExchangeId id : ids) {
    // Refusing a request may end others, so each is looked up again.
    ServingRequest* request = FindByExchange(id);
    LocalReply refusal;
    if (request == nullptr || !IsBlocked(request, &refusal)) {
      continue;
    }
    const CallId call = request->attempt.call;
    if (call != 0 && !output->CancelIfUnsent(call)) {
      continue;  // It has been sent.
    }
    if (call != 0) {
      ReportNotSent(request);
      EndAttempt(request);
    }
    Refuse(request, std::move(refusal));
  }
}

void Gateway::OnCrashRecord(const CrashRecord& record,
                            std::string_view source) {
  const TimeUs now = impl_->output->Now();
  const auto before = impl_->crash_records.Of(now, record.fingerprint);
  if (!impl_->crash_records.Merge(now, record)) {
    return;
  }
  const auto verdict = impl_->crash_records.Of(now, record.fingerprint);
  impl_->log->Write("crash_record",
                    {{"fingerprint", record.fingerprint},
                     {"account", record.account},
                     {"source", source},
                     {"ends", verdict.ends},
                     {"ends_before", before.ends},
                     {"blocked", verdict.blocked},
                     {"last_end_ms", verdict.last_end_age / kMillisecond}});
  if (verdict.blocked == before.blocked) {
    return;
  }
  // Whoever saw an end itself writes the row, so that it is written even if
  // each gateway saw only some of the ends.
  if (impl_->seen_crashing.contains(record.fingerprint)) {
    impl_->ReportChange(record.fingerprint, before.blocked);
  } else if (verdict.blocked) {
    impl_->RefuseBlocked();
  }
}

std::vector<Gateway::CrashChange> Gateway::TakeCrashChanges() {
  return std::exchange(impl_->crash_changes, {});
}

const CrashRecords& Gateway::crash_records() const {
  return impl_->crash_records;
}

bool Gateway::LiftBlock(const std::string& fingerprint) {
  const TimeUs now = impl_->output->Now();
  const bool was_blocked = impl_->crash_records.Of(now, fingerprint).blocked;
  if (!impl_->crash_records.OnAnswered(now, fingerprint)) {
    return false;
  }
  impl_->LogTakenBack(fingerprint, "", was_blocked);
  impl_->ReportChange(fingerprint, was_blocked);
  return true;
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
