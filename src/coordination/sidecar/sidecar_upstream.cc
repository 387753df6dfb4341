// What the upstream says to `Sidecar`: answers, errors, reports, and its death.
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
  times.OnAnswer(item.call, service);
  if (item.apart) {
    quarantine.OnAnsweredAlone(now, item.call.fingerprint);
  }
  ExportSpan(now, item, "answered");
  Forget(now, key);
  StartWaiting(now);
}

// Failure: the upstream dies with a batch in progress, or it closes a single
// connection. Symptom: taken for the same, either a request that kills
// upstreams goes unblamed, or one with a cut answer is blamed for a death that
// never was. The upstream is asked at once; until it has answered, calls whose
// connections broke wait for their verdict and nothing is started.
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
  }
  std::vector<StageKey> broken;
  for (const auto& [unused, key] : running) {
    if (work.at(key).broken) {
      broken.push_back(key);
    }
  }
  std::sort(broken.begin(), broken.end());
  for (const StageKey& key : broken) {
    Fail(now, work.at(key), Verdict::kMayHaveRun, Refusal::kUpstreamFailed,
         crashed);
    Forget(now, key);
  }
  if (crashed) {
    output->TellEntries();
  }
}

void Sidecar::OnUpstreamReport(TimeUs now,
                               TimeUs asked_at,
                               const UpstreamReport& report) {
  Impl& impl = *impl_;
  impl.leaving.OnReport(asked_at, report.reachable);
  bool replaced = false;
  if (report.reachable) {
    impl.leaving.OnWord(now, LeaveRoute::kUpstream, report.leaving);
    impl.limit.OnReport(now, asked_at, report.load);
    replaced = !impl.upstream_instance.empty() &&
               report.instance != impl.upstream_instance;
    impl.upstream_instance = report.instance;
  }
  if (replaced && impl.Occupied() > 0) {
    impl.StartCrashCheck(now);
  }
  if (impl.crash_check_at != 0 &&
      (replaced || asked_at >= impl.crash_check_at)) {
    impl.EndCrashCheck(now, replaced || !report.reachable);
  }
  impl.BeforeInput(now);
  impl.StartWaiting(now);
}

void Sidecar::OnUpstreamChunk(TimeUs now,
                              UpstreamCallId id,
                              std::string body,
                              bool last) {
  impl_->BeforeInput(now);
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
  chunk.service = now - item->handed_over;
  chunk.body = std::move(body);
  impl_->output->Send(item->entry, chunk);
  if (last) {
    impl_->OnAnswered(now, chunk.key, chunk.service);
  }
}

void Sidecar::OnUpstreamError(TimeUs now,
                              UpstreamCallId id,
                              UpstreamError error) {
  impl_->BeforeInput(now);
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
    item->broken = true;
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
