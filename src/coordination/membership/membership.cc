#include "coordination/membership/membership.h"

#include <algorithm>
#include <utility>

namespace acaciachute {
namespace {

// Time for which an answer to another entry's request is still useful.
constexpr DurationUs kHelpRequestTimeout = kSecond;
// A sidecar that answered within this time is not probed for another entry.
constexpr DurationUs kRecentContactMaxAge = kSecond;

}  // namespace

Membership::Membership(MembershipOutput* output,
                       Random* random,
                       Metrics* metrics)
    : output_(output), random_(random), metrics_(metrics) {}

void Membership::SetTargets(TimeUs now, const std::vector<NodeId>& sidecars) {
  std::map<NodeId, Member, std::less<>> next;
  for (const auto& it : sidecars) {
    const auto old = members_.find(it);
    Member& member = next[it];
    if (old != members_.end()) {
      member = std::move(old->second);
    }
  }
  members_ = std::move(next);
  const auto bytes = static_cast<DurationUs>(members_.size()) * kProbeBytes;
  period_ = std::clamp(bytes * kSecond / kProbeBytesPerSecond, kMinProbePeriod,
                       kMaxProbePeriod);
}

void Membership::SetHelpers(std::vector<NodeId> entries) {
  helpers_ = std::move(entries);
}

void Membership::OnTick(TimeUs now) {
  // While this process was suspended, answers waited in its socket, and on
  // resuming all sidecars seem to have been silent for as long. The silence is
  // counted from now, so the answers are read before any sidecar is suspected.
  const bool was_suspended = suspension_detector_.CheckSuspension(now) > 0;
  for (auto& [sidecar, member] : members_) {
    if (was_suspended && member.unanswered_since >= 0) {
      member.unanswered_since = now;
    }
    const bool silent = member.unanswered_since >= 0 &&
                        now - member.unanswered_since > kSuspectTimeout;
    const bool reachable = member.state == NodeState::kReady ||
                           member.state == NodeState::kLeaving;
    if (silent && reachable) {
      member.suspected_at = now;
      SetState(sidecar, member, NodeState::kSuspect);
    }
    if (member.state == NodeState::kSuspect) {
      // An entry that reaches the sidecar keeps it from being dead; it stays
      // suspected here.
      const TimeUs since =
          std::max(member.suspected_at, member.last_contact_at);
      if (now - since > kDeadTimeout) {
        SetState(sidecar, member, NodeState::kDead);
        output_->OnMemberLost(sidecar);
      } else if (now >= member.next_help_request_at) {
        member.next_help_request_at = now + kHelpRequestPeriod;
        RequestHelp(now, sidecar);
      }
    }
    if (now >= member.next_probe_at) {
      Probe(now, sidecar, member);
    }
  }
  std::erase_if(help_requests_, [now](const auto& it) {
    return it.second.sent_at + kHelpRequestTimeout < now;
  });
}

void Membership::Probe(TimeUs now, const NodeId& sidecar, Member& member) {
  const bool is_retry = member.unanswered_since >= 0;
  const bool known =
      member.state != NodeState::kDead && member.state != NodeState::kStarting;
  // Spread over the period, so that answers do not arrive in one burst.
  const auto jitter = static_cast<DurationUs>(random_->Below(period_ / 8 + 1));
  member.next_probe_at =
      now + (is_retry && known ? kProbeRetryDelay : period_ - jitter);
  if (!is_retry) {
    member.unanswered_since = now;
    member.next_probe_at = now + (known ? kProbeRetryDelay : period_ - jitter);
  }
  const std::uint64_t sequence = next_sequence_++;
  member.pending_probes[sequence] = now;
  while (member.pending_probes.begin()->second + kMaxProbePeriod < now) {
    member.pending_probes.erase(member.pending_probes.begin());
  }
  output_->ProbeSidecar(sidecar, sequence);
}

void Membership::RequestHelp(TimeUs now, const NodeId& sidecar) {
  std::vector<NodeId> candidates = helpers_;
  for (std::size_t n = 0; n < kHelpersPerRequest && !candidates.empty(); ++n) {
    std::swap(candidates[random_->Below(candidates.size())], candidates.back());
    output_->SendToEntry(candidates.back(), ReachQuery{sidecar});
    candidates.pop_back();
  }
}

bool Membership::OnAnswer(TimeUs now,
                          const NodeId& sidecar,
                          Incarnation incarnation,
                          const Heartbeat& heartbeat) {
  AnswerHelpRequests(sidecar, incarnation, heartbeat.reply_to);
  const auto it = members_.find(sidecar);
  if (it == members_.end()) {
    return false;
  }
  Member& member = it->second;
  const auto probe = member.pending_probes.find(heartbeat.reply_to);
  const bool answers_probe = probe != member.pending_probes.end();
  // This answers no pending probe and is no report of its own: it may be
  // minutes old.
  if (!answers_probe && heartbeat.reply_to != 0) {
    metrics_->Count("acaciachute_late_heartbeats_total");
    return false;
  }
  if (member.incarnation != incarnation) {
    if (member.incarnation != 0) {
      output_->OnMemberLost(sidecar);
    }
    member.incarnation = incarnation;
    member.first_heard_at = now;
    member.listed_leaving = false;
  }
  if (answers_probe) {
    member.last_contact_at = probe->second;
    member.pending_probes.erase(member.pending_probes.begin(),
                                std::next(probe));
    member.unanswered_since = kNoTime;
    member.next_probe_at =
        now + period_ -
        static_cast<DurationUs>(random_->Below(period_ / 8 + 1));
  } else if (member.state == NodeState::kSuspect ||
             member.state == NodeState::kDead) {
    // The sidecar sends reports but does not receive this entry's probes: the
    // path works in one direction only.
    return false;
  }
  member.reported_state = heartbeat.state;
  SetState(sidecar, member,
           member.listed_leaving && member.reported_state == NodeState::kReady
               ? NodeState::kLeaving
               : member.reported_state);
  return true;
}

void Membership::AnswerHelpRequests(const NodeId& sidecar,
                                    Incarnation incarnation,
                                    std::uint64_t sequence) {
  const auto it = help_requests_.find(sequence);
  if (it == help_requests_.end() || it->second.sidecar != sidecar) {
    return;
  }
  output_->SendToEntry(it->second.entry, ReachReport{sidecar, incarnation});
  help_requests_.erase(it);
}

void Membership::OnReachQuery(TimeUs now,
                              const NodeId& entry,
                              const ReachQuery& query) {
  const auto it = members_.find(query.sidecar);
  if (it != members_.end() && it->second.last_contact_at >= 0 &&
      now - it->second.last_contact_at < kRecentContactMaxAge) {
    output_->SendToEntry(entry,
                         ReachReport{query.sidecar, it->second.incarnation});
    return;
  }
  const std::uint64_t sequence = next_sequence_++;
  help_requests_[sequence] = {entry, query.sidecar, sequence, now};
  output_->ProbeSidecar(query.sidecar, sequence);
}

void Membership::OnReachReport(TimeUs now, const ReachReport& report) {
  const auto it = members_.find(report.sidecar);
  if (it == members_.end() || it->second.state != NodeState::kSuspect ||
      it->second.incarnation != report.incarnation) {
    return;
  }
  metrics_->Count("acaciachute_reached_through_others_total");
  it->second.last_contact_at = now;
}

void Membership::OnHostList(TimeUs now, const std::vector<HostHint>& hosts) {
  for (const auto& host : hosts) {
    const auto it = members_.find(host.node);
    if (it == members_.end()) {
      continue;
    }
    Member& member = it->second;
    // The list may still describe the process that this one replaced.
    const bool about_current_process =
        member.first_heard_at >= 0 &&
        now - member.first_heard_at >= kMaxHostListLag;
    member.listed_leaving = host.leaving && about_current_process;
    if (member.state != NodeState::kReady &&
        member.state != NodeState::kLeaving) {
      continue;
    }
    SetState(
        host.node, member,
        member.listed_leaving ? NodeState::kLeaving : member.reported_state);
  }
}

void Membership::SetState(const NodeId& sidecar,
                          Member& member,
                          NodeState state) {
  if (member.state == state) {
    return;
  }
  member.state = state;
  metrics_->Count("acaciachute_member_states_total", Name(state));
  output_->OnMemberState(sidecar, state);
}

NodeState Membership::StateOf(const NodeId& sidecar) const {
  const auto it = members_.find(sidecar);
  return it == members_.end() ? NodeState::kStarting : it->second.state;
}

bool Membership::ListedLeaving(const NodeId& sidecar) const {
  const auto it = members_.find(sidecar);
  return it != members_.end() && it->second.listed_leaving;
}

}  // namespace acaciachute
