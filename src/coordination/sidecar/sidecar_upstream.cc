// `Sidecar`: answers, errors, status reports and crashes of the upstream.
#include <algorithm>
#include <utility>
#include <vector>

#include "coordination/sidecar/sidecar.h"
#include "coordination/sidecar/sidecar_impl.h"

namespace acaciachute {

Sidecar::Impl::Work* Sidecar::Impl::FindRunning(UpstreamCallId id) {
  const auto it = running.find(id);
  return it == running.end() ? nullptr : &work.at(it->second);
}

void Sidecar::Impl::EndOverrun(TimeUs now, UpstreamCallId id) {
  if (overrunning.erase(id) > 0) {
    StartWaiting(now);
  }
}

void Sidecar::Impl::OnAnswered(TimeUs now,
                               const StageKey& key,
                               DurationUs service) {
  const Work& item = work.at(key);
  limit.OnAnswer(now, service, Occupied());
  service_times.OnAnswer(item.call, service);
  if (item.isolated) {
    quarantine.OnAnsweredAlone(now, item.call.fingerprint);
  }
  ExportSpan(now, item, "answered");
  Forget(now, key);
  StartWaiting(now);
}

// Starts a check whether the upstream crashed or only closed a connection. If a
// crash were taken for a closed connection, a request that crashes upstreams
// would not be suspected; if a closed connection were taken for a crash, a
// request with a truncated answer would be suspected wrongly. So the upstream
// is polled at once; until it has answered, calls whose connections were lost
// are neither answered nor refused, and no call is started.
void Sidecar::Impl::StartCrashCheck(TimeUs now) {
  if (crash_check_at != 0) {
    return;
  }
  crash_check_at = now;
  in_progress_at_crash.clear();
  for (const auto& [unused, key] : running) {
    const StageCall& call = work.at(key).call;
    in_progress_at_crash.push_back({call.fingerprint, call.account});
  }
  for (const auto& [unused, overrun] : overrunning) {
    in_progress_at_crash.push_back(overrun.suspect);
  }
  output->CheckUpstream();
}

void Sidecar::Impl::EndCrashCheck(TimeUs now, bool crashed) {
  crash_check_at = 0;
  if (crashed) {
    metrics->Count("acaciachute_sidecar_upstream_crashes_total");
    quarantine.OnCrash(now, options.node, in_progress_at_crash);
    // Before the failures: a caller that has its answer may send the request
    // again at once, to an entry that has to know of the crash by then.
    output->SendHeartbeatToEntries();
  }
  std::vector<StageKey> connection_lost;
  for (const auto& [unused, key] : running) {
    if (work.at(key).connection_lost) {
      connection_lost.push_back(key);
    }
  }
  std::sort(connection_lost.begin(), connection_lost.end());
  for (const StageKey& key : connection_lost) {
    Fail(now, work.at(key), Verdict::kMayHaveRun, Refusal::kUpstreamFailed,
         crashed);
    Forget(now, key);
  }
  if (crashed) {
    output->SendHeartbeatToEntries();
  }
}

void Sidecar::OnUpstreamReport(TimeUs now,
                               TimeUs requested_at,
                               const UpstreamReport& report) {
  Impl& impl = *impl_;
  impl.leaving.OnReport(requested_at, report.reachable);
  bool replaced = false;
  if (report.reachable) {
    impl.leaving.OnLeaveReport(now, LeaveRoute::kUpstream, report.leaving);
    impl.limit.OnReport(now, requested_at, report.load);
    replaced = !impl.upstream_instance.empty() &&
               report.instance != impl.upstream_instance;
    impl.upstream_instance = report.instance;
  }
  if (replaced && impl.Occupied() > 0) {
    impl.StartCrashCheck(now);
  }
  if (impl.crash_check_at != 0 &&
      (replaced || requested_at >= impl.crash_check_at)) {
    impl.EndCrashCheck(now, replaced || !report.reachable);
  }
  impl.ApplyTimeouts(now);
  impl.StartWaiting(now);
}

void Sidecar::OnUpstreamChunk(TimeUs now,
                              UpstreamCallId id,
                              std::string body,
                              bool last) {
  impl_->ApplyTimeouts(now);
  detail::Work* item = impl_->FindRunning(id);
  if (item == nullptr) {
    impl_->metrics->Count("acaciachute_sidecar_stale_answers_total");
    if (last) {
      impl_->EndOverrun(now, id);
    }
    return;
  }
  StageChunk chunk;
  chunk.key = item->call.key;
  chunk.sidecar = impl_->options.incarnation;
  chunk.sequence = item->next_chunk++;
  chunk.last = last;
  chunk.service = now - item->started_at;
  chunk.body = std::move(body);
  impl_->output->Send(item->entry, chunk);
  if (last) {
    impl_->OnAnswered(now, chunk.key, chunk.service);
  }
}

void Sidecar::OnUpstreamError(TimeUs now,
                              UpstreamCallId id,
                              UpstreamError error) {
  impl_->ApplyTimeouts(now);
  detail::Work* item = impl_->FindRunning(id);
  if (error == UpstreamError::kBroken &&
      (item != nullptr || impl_->overrunning.contains(id))) {
    impl_->StartCrashCheck(now);
  }
  if (item == nullptr) {
    impl_->metrics->Count("acaciachute_sidecar_stale_answers_total");
    impl_->EndOverrun(now, id);
    return;
  }
  if (error == UpstreamError::kBroken) {
    item->connection_lost = true;
    return;
  }
  const bool not_run =
      error == UpstreamError::kNotSent || error == UpstreamError::kRejected;
  const StageKey key = item->call.key;
  impl_->Fail(now, *item, not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
              Refusal::kUpstreamFailed);
  impl_->Forget(now, key);
  impl_->StartWaiting(now);
}

}  // namespace acaciachute
