// Replicas that end while requests are in progress there, and requests that are
// refused because replicas ended under them, or under others with one of their
// prompt parts, again and again.
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "coordination/gateway/gateway_impl.h"
#include "state/request_fingerprint.h"
#include "text.h"

namespace acaciachute {
namespace {

// Parts of one prompt that are suspects when its replica ends.
constexpr std::size_t kMaxSuspectParts = 32;

// Delay until others are told of suspects that were cleared before: most are
// cleared again meanwhile.
constexpr DurationUs kLateTellDelay = 150 * kMillisecond;

// Retry-After of requests with a part whose verdict is doubtful: by then a
// trial has ended.
constexpr DurationUs kMinTrialTime = 500 * kMillisecond;
constexpr DurationUs kTrialTimeSpread = 700 * kMillisecond;

}  // namespace

const std::string& Gateway::Impl::AccountOf(const ServingRequest& request) {
  static const std::string kAnonymous;
  return request.account != nullptr ? request.account->name : kAnonymous;
}

const std::string& Gateway::Impl::FingerprintOf(ServingRequest* request) const {
  if (request->fingerprint.empty()) {
    request->fingerprint =
        RequestFingerprint(AccountOf(*request), request->call);
    request->path_fingerprint =
        PathFingerprint(AccountOf(*request), request->call);
  }
  return request->fingerprint;
}

std::vector<CrashCause> Gateway::Impl::RequestCauses(
    ServingRequest* request) const {
  std::vector<CrashCause> causes = {
      {CauseKind::kRequest, FingerprintOf(request)}};
  if (!request->path_fingerprint.empty()) {
    causes.push_back({CauseKind::kRequest, request->path_fingerprint});
  }
  return causes;
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

// The request and, unless its answer has begun, the parts of its prompt. Of
// very many parts, those go first that were suspects before and that were never
// cleared; equal ones by their hash, so that the same ones are chosen each
// time.
std::vector<CrashCause> Gateway::Impl::SuspectsOf(
    ServingRequest* request) const {
  std::vector<CrashCause> suspects = RequestCauses(request);
  if (request->attempt.first_event_received) {
    return suspects;
  }
  std::vector<CrashCause> parts = PartCauses(request->call);
  if (parts.size() > kMaxSuspectParts) {
    const auto rank = [this](const CrashCause& it) {
      return std::tuple(!crash_records.Has(it), crash_records.WasCleared(it),
                        XXH3_64bits(it.id.data(), it.id.size()));
    };
    std::sort(parts.begin(), parts.end(),
              [&](const CrashCause& a, const CrashCause& b) {
                return rank(a) < rank(b);
              });
    parts.resize(kMaxSuspectParts);
  }
  std::move(parts.begin(), parts.end(), std::back_inserter(suspects));
  return suspects;
}

// What ends at a replica that leaves, or that is not listed any more, ends as
// planned, unless the replica is known to have ended otherwise: one that fell
// silent loses its row before the deadlines of its requests.
void Gateway::Impl::RecordSuspects(ServingRequest* request, bool abandoned) {
  const ReplicaId& replica = request->attempt.replica.id;
  const ReplicaEntry* listed = directory->Find(replica);
  if (listed == nullptr ? !broken_attempts.HasEnded(replica)
                        : listed->leaving) {
    return;
  }
  BrokenAttempt attempt;
  attempt.abandoned = abandoned;
  attempt.causes = SuspectsOf(request);
  attempt.tried = request->tried_cause;
  attempt.request_tried = request_trials.IsTrial(request->id);
  attempt.account = AccountOf(*request);
  attempt.request = request->call.id;
  attempt.parts = PartIds(request->call);
  attempt.begun = request->attempt.first_event_received;
  attempt.began_at = request->attempt.sent_at;
  attempt.broken_at = output->Now();
  if (broken_attempts.OnBroken(output->Now(), replica, attempt)) {
    OnEndedUnder(replica, {attempt});
  }
}

void Gateway::Impl::OnBroken(ServingRequest* request) {
  RecordSuspects(request, false);
}

void Gateway::Impl::AbandonAttempt(ServingRequest* request) {
  const CallId call = request->attempt.call;
  if (call == 0) {
    return;
  }
  if (output->CancelIfUnsent(call)) {
    ReportNotSent(request);
    EndAttempt(request);
    return;
  }
  RecordSuspects(request, true);
  CancelAttempt(request);
}

void Gateway::Impl::OnEndedUnder(const ReplicaId& replica,
                                 const std::vector<BrokenAttempt>& attempts) {
  const TimeUs now = output->Now();
  std::vector<CrashRecords::Suspect> suspects;
  for (const BrokenAttempt& attempt : attempts) {
    for (const CrashCause& it : attempt.causes) {
      const bool tried = it.kind == CauseKind::kRequest ? attempt.request_tried
                                                        : attempt.tried == it;
      suspects.push_back(
          {it, attempt.account, {attempt.began_at, attempt.broken_at, tried}});
    }
  }
  const auto added = crash_records.OnReplicaEnded(now, replica, suspects);
  for (const BrokenAttempt& it : attempts) {
    LogEndedUnder(replica, it);
  }
  TellEnds(replica, added);
  ApplyVerdicts();
}

// Names the cause with most ends.
void Gateway::Impl::LogEndedUnder(const ReplicaId& replica,
                                  const BrokenAttempt& attempt) {
  const TimeUs now = output->Now();
  const CrashCause* most = &attempt.causes.front();
  for (const CrashCause& it : attempt.causes) {
    if (crash_records.Of(now, it).ends > crash_records.Of(now, *most).ends) {
      most = &it;
    }
  }
  const auto verdict = crash_records.Of(now, *most);
  log->Write("ended_under", {{"id", attempt.request},
                             {"fingerprint", Text(attempt.causes.front())},
                             {"account", attempt.account},
                             {"replica", replica.name},
                             {"life", replica.incarnation},
                             {"parts", attempt.parts},
                             {"begun", attempt.begun},
                             {"most", Text(*most)},
                             {"ends", verdict.ends},
                             {"blocked", verdict.blocked}});
}

void Gateway::Impl::TellEnds(const ReplicaId& replica,
                             const std::vector<CrashCause>& suspects) {
  const TimeUs now = output->Now();
  LateSuspects late = {now + kLateTellDelay, replica, {}};
  std::vector<CrashCause> at_once;
  for (const CrashCause& it : suspects) {
    (crash_records.WasCleared(it) ? late.causes : at_once).push_back(it);
  }
  crash_news.reports.push_back(crash_records.Report(now, replica, at_once));
  if (!late.causes.empty()) {
    late_suspects.push_back(std::move(late));
  }
}

void Gateway::Impl::TellLateSuspects() {
  const TimeUs now = output->Now();
  while (!late_suspects.empty() && late_suspects.front().due_at <= now) {
    LateSuspects& late = late_suspects.front();
    std::erase_if(late.causes, [&](const CrashCause& it) {
      return !crash_records.Stands(late.replica, it);
    });
    crash_news.reports.push_back(
        crash_records.Report(now, late.replica, late.causes));
    late_suspects.pop_front();
  }
}

void Gateway::Impl::ApplyVerdicts() {
  const TimeUs now = output->Now();
  bool any_blocked = false;
  for (const CrashCause& it : crash_records.TakeVerdictChanges()) {
    const auto verdict = crash_records.Of(now, it);
    metrics->Count("acaciachute_gateway_blocked_requests_total",
                   verdict.blocked ? "blocked" : "lifted");
    log->Write("crash_verdict",
               {{"cause", Text(it)},
                {"kind", Name(it.kind)},
                {"blocked", verdict.blocked},
                {"doubtful", verdict.doubtful},
                {"rivals", verdict.rivals},
                {"ends", verdict.ends},
                {"last_end_ms", verdict.last_end_age / kMillisecond}});
    any_blocked = any_blocked || verdict.blocked;
    // Whoever saw an end itself writes the row, so that it is written even if
    // each gateway saw only some of the ends.
    if (crash_records.SawEnd(it)) {
      crash_news.to_store.push_back(it);
    }
  }
  for (CrashCause& it : crash_records.TakeStoreChanges(now)) {
    crash_news.to_store.push_back(std::move(it));
  }
  if (any_blocked) {
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
  const auto abandoned = static_cast<std::size_t>(
      std::count_if(attempts.begin(), attempts.end(),
                    [](const BrokenAttempt& it) { return it.abandoned; }));
  metrics->Count("acaciachute_gateway_ended_under_total", "begun", begun);
  metrics->Count("acaciachute_gateway_ended_under_total", "waiting",
                 attempts.size() - begun);
  log->Write("replica_ended",
             {{"replica", replica.name},
              {"life", replica.incarnation},
              {"evidence", evidence},
              {"in_progress", attempts.size()},
              {"begun", begun},
              {"abandoned", abandoned},
              {"after_ms", (now - attempts.front().broken_at) / kMillisecond}});
  OnEndedUnder(replica, attempts);
}

std::vector<CrashCause> Gateway::Impl::BlockedCauses(
    ServingRequest* request) const {
  const TimeUs now = output->Now();
  std::vector<CrashCause> blocked;
  const auto add_if_blocked = [&](const CrashCause& it) {
    if (crash_records.Of(now, it).blocked) {
      blocked.push_back(it);
    }
  };
  if (crash_records.HasRequestOf(AccountOf(*request))) {
    for (const CrashCause& it : RequestCauses(request)) {
      add_if_blocked(it);
    }
  }
  if (crash_records.HasBlockedPart()) {
    for (const CrashCause& it : PartCauses(request->call)) {
      add_if_blocked(it);
    }
  }
  return blocked;
}

bool Gateway::Impl::AreDoubtful(const std::vector<CrashCause>& blocked) const {
  const TimeUs now = output->Now();
  return std::all_of(blocked.begin(), blocked.end(), [&](const CrashCause& it) {
    return crash_records.Of(now, it).doubtful;
  });
}

// One of several parts with the same ends is guilty. A request with only some
// of them is likely not to have that one, and its answer tells them apart.
bool Gateway::Impl::TellsApart(const std::vector<CrashCause>& blocked) const {
  const TimeUs now = output->Now();
  return std::all_of(blocked.begin(), blocked.end(), [&](const CrashCause& it) {
    const auto verdict = crash_records.Of(now, it);
    return blocked.size() < verdict.rivals &&
           verdict.decided_age < CrashRecords::kTellApartWindow;
  });
}

// A request with all of several parts that have the same ends tells only
// whether all of them are sound, so it is let try them once.
bool Gateway::Impl::MayTry(ServingRequest* request,
                           const std::vector<CrashCause>& blocked) {
  const TimeUs now = output->Now();
  if (!AreDoubtful(blocked)) {
    return false;
  }
  if (cause_trials.IsTrial(blocked, request->id)) {
    return true;
  }
  const std::size_t rivals = crash_records.Of(now, blocked.front()).rivals;
  const auto log_trial = [&] {
    log->Write("cause_trial", {{"id", request->call.id},
                               {"cause", Text(blocked.front())},
                               {"causes", blocked.size()},
                               {"rivals", rivals},
                               {"tells_apart", request->tells_apart}});
  };
  if (TellsApart(blocked)) {
    if (!std::exchange(request->tells_apart, true)) {
      log_trial();
    }
    return true;
  }
  const int most = blocked.size() > 1 && blocked.size() >= rivals
                       ? 1
                       : CauseTrials::kMaxTrials;
  if (!cause_trials.Begin(blocked, request->id, most, output->LivePeers())) {
    return false;
  }
  if (blocked.size() == 1) {
    request->tried_cause = blocked.front();
  }
  request->tells_apart = false;
  log_trial();
  return true;
}

// A request that is in doubt itself waits for a trial when it is to be sent.
bool Gateway::Impl::IsBlocked(ServingRequest* request, LocalReply* refusal) {
  std::vector<CrashCause> blocked = BlockedCauses(request);
  std::erase_if(blocked, [this](const CrashCause& it) {
    return it.kind == CauseKind::kRequest &&
           crash_records.Of(output->Now(), it).doubtful;
  });
  if (blocked.empty() || MayTry(request, blocked)) {
    return false;
  }
  const CrashCause& cause = blocked.front();
  const auto verdict = crash_records.Of(output->Now(), cause);
  const std::string until =
      verdict.blocked_for == kNever
          ? "refused until an answer or an operator clears it"
          : StrCat("refused for ", verdict.blocked_for / kSecond,
                   " s more, unless an operator lifts it");
  *refusal = {Refusal::kCrashesReplicas, Verdict::kNotRun, 0,
              StrCat(cause.kind == CauseKind::kRequest ? "fingerprint " : "",
                     Text(cause), ": ", verdict.ends,
                     " replicas ended under it, the last one ",
                     verdict.last_end_age / kSecond, " s ago; ", until)};
  if (verdict.doubtful) {
    refusal->retry_after = kMinTrialTime + static_cast<DurationUs>(
                                               random->Below(kTrialTimeSpread));
  }
  return true;
}

// Parts that were cleared before are in progress wherever a replica ends, so
// two such ends tell little.
bool Gateway::Impl::MayCrashReplicas(ServingRequest* request) const {
  const TimeUs now = output->Now();
  const auto may_crash = [&](const CrashCause& it) {
    const auto verdict = crash_records.Of(now, it);
    const bool sound_part =
        it.kind == CauseKind::kPromptPart && verdict.cleared_before;
    return verdict.ends >=
           (sound_part ? 2 : 1) * CrashRecords::kMaxEndsToRepeat;
  };
  std::vector<CrashCause> causes = PartCauses(request->call);
  if (crash_records.HasRequestOf(AccountOf(*request))) {
    const auto own = RequestCauses(request);
    causes.insert(causes.end(), own.begin(), own.end());
  }
  return std::any_of(causes.begin(), causes.end(), may_crash);
}

// Also without a record: of a request that is known to have been answered, a
// series of ends tells less. Fingerprints of large bodies take too long for
// that.
void Gateway::Impl::OnAnsweredWhole(ServingRequest* request) {
  request_trials.OnEnded(output->Now(), request->id,
                         RequestTrials::Result::kAnswered);
  constexpr std::size_t kMaxRememberedBody = 64 << 10;
  if (crash_records.HasRequestOf(AccountOf(*request)) ||
      request->call.body.size() <= kMaxRememberedBody) {
    Clear(RequestCauses(request), request->call.id);
  }
}

void Gateway::Impl::OnBegun(const ServingRequest& request) {
  Clear(PartCauses(request.call), request.call.id);
}

// `request`: the one that was answered; empty: an operator lifts the block.
void Gateway::Impl::Clear(const std::vector<CrashCause>& causes,
                          std::string_view request) {
  const TimeUs now = output->Now();
  bool any_known = false;
  for (const CrashCause& it : causes) {
    const bool known = crash_records.Has(it);
    const auto before =
        known ? crash_records.Of(now, it) : CrashRecords::Verdict();
    const bool was_stored = known && crash_records.IsStored(now, it);
    const bool others_know = crash_records.OnCleared(now, it);
    any_known = any_known || known;
    if (others_know) {
      crash_news.reports.push_back({{}, {{it, 0}}});
    }
    if (was_stored) {
      crash_news.to_store.push_back(it);
    }
    if (others_know || before.blocked) {
      log->Write("ends_taken_back",
                 {{"id", request},
                  {"cause", Text(it)},
                  {"why", request.empty() ? "operator" : "answered"},
                  {"ends", before.ends},
                  {"was_blocked", before.blocked}});
    }
  }
  if (any_known) {
    ApplyVerdicts();
  }
}

// A doubtful verdict may change within milliseconds, when others tell of the
// same end, so what waits is judged by it only when it is to be sent.
void Gateway::Impl::RefuseBlocked() {
  std::vector<ExchangeId> ids;
  for (const auto& [id, request] : requests) {
    ids.push_back(id);
  }
  for (const ExchangeId id : ids) {
    // Refusing a request may end others, so each is looked up again.
    ServingRequest* request = FindByExchange(id);
    LocalReply refusal;
    if (request == nullptr ||
        (request->attempt.call == 0 && AreDoubtful(BlockedCauses(request))) ||
        !IsBlocked(request, &refusal)) {
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

// Causes with one end are many, and decide nothing, so the line of the report
// stands for them.
void Gateway::OnCrashReport(const CrashReport& report,
                            std::string_view source) {
  const TimeUs now = impl_->output->Now();
  const auto changed = impl_->crash_records.Merge(now, report);
  if (changed.empty()) {
    return;
  }
  impl_->log->Write("crash_report", {{"source", source},
                                     {"ends", report.ends.size()},
                                     {"cleared", report.cleared.size()},
                                     {"changed", changed.size()}});
  for (const CrashCause& it : changed) {
    const auto verdict = impl_->crash_records.Of(now, it);
    if (verdict.ends < CrashRecords::kMaxEndsToRepeat && !verdict.blocked) {
      continue;
    }
    impl_->log->Write("crash_record",
                      {{"cause", Text(it)},
                       {"account", impl_->crash_records.AccountOf(it)},
                       {"source", source},
                       {"ends", verdict.ends},
                       {"blocked", verdict.blocked},
                       {"last_end_ms", verdict.last_end_age / kMillisecond}});
  }
  impl_->ApplyVerdicts();
}

Gateway::CrashNews Gateway::TakeCrashNews() {
  impl_->TellLateSuspects();
  return std::exchange(impl_->crash_news, {});
}

CrashRecords* Gateway::crash_records() {
  return &impl_->crash_records;
}

bool Gateway::LiftBlock(const CrashCause& cause) {
  if (impl_->crash_records.Of(impl_->output->Now(), cause).ends == 0) {
    return false;
  }
  impl_->Clear({cause}, "");
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
