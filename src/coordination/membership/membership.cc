#include "coordination/membership/membership.h"

#include <algorithm>
#include <utility>

namespace acaciachute {
namespace {

// How long another entry's request for help is worth an answer.
constexpr DurationUs kRequestLife = kSecond;
// Heard so recently, a sidecar needs no question on another's behalf.
constexpr DurationUs kFresh = kSecond;

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
  const auto bytes = static_cast<DurationUs>(members_.size()) * kQuestionBytes;
  period_ =
      std::clamp(bytes * kSecond / kBytesPerSecond, kMinPeriod, kMaxPeriod);
}

void Membership::SetHelpers(std::vector<NodeId> entries) {
  helpers_ = std::move(entries);
}

void Membership::OnTick(TimeUs now) {
  // Failure: this process was paused, and the answers wait in its socket.
  // Symptom: on waking it finds everybody silent for as long as it slept. The
  // silence starts anew, so the answers are read before anyone is suspected.
  const bool was_paused = suspension_detector_.OnTurn(now) > 0;
  for (auto& [name, member] : members_) {
    if (was_paused && member.silent_since >= 0) {
      member.silent_since = now;
    }
    const bool silent =
        member.silent_since >= 0 && now - member.silent_since > kSuspectAfter;
    const bool heard = member.state == NodeState::kReady ||
                       member.state == NodeState::kLeaving;
    if (silent && heard) {
      member.suspected_at = now;
      SetState(name, member, NodeState::kSuspect);
    }
    if (member.state == NodeState::kSuspect) {
      // Whoever else hears it keeps it from being dead, not from being shunned.
      const TimeUs since = std::max(member.suspected_at, member.confirmed_at);
      if (now - since > kDeadAfter) {
        SetState(name, member, NodeState::kDead);
        output_->OnMemberLost(name);
      } else if (now >= member.next_help) {
        member.next_help = now + kHelpPeriod;
        AskHelpers(now, name);
      }
    }
    if (now >= member.next_question) {
      Ask(now, name, member);
    }
  }
  std::erase_if(requests_, [now](const auto& it) {
    return it.second.sent_at + kRequestLife < now;
  });
}

void Membership::Ask(TimeUs now, const NodeId& sidecar, Member& member) {
  const bool repeat = member.silent_since >= 0;
  const bool known =
      member.state != NodeState::kDead && member.state != NodeState::kStarting;
  // Spread over the period, so that the answers do not come in one burst.
  const auto jitter = static_cast<DurationUs>(random_->Below(period_ / 8 + 1));
  member.next_question =
      now + (repeat && known ? kRepeatAfter : period_ - jitter);
  if (!repeat) {
    member.silent_since = now;
    member.next_question = now + (known ? kRepeatAfter : period_ - jitter);
  }
  const std::uint64_t sequence = next_sequence_++;
  member.questions[sequence] = now;
  while (member.questions.begin()->second + kMaxPeriod < now) {
    member.questions.erase(member.questions.begin());
  }
  output_->AskSidecar(sidecar, sequence);
}

void Membership::AskHelpers(TimeUs now, const NodeId& sidecar) {
  std::vector<NodeId> open = helpers_;
  for (std::size_t n = 0; n < kHelpers && !open.empty(); ++n) {
    std::swap(open[random_->Below(open.size())], open.back());
    output_->SendToEntry(open.back(), ReachQuery{sidecar});
    open.pop_back();
  }
}

bool Membership::OnAnswer(TimeUs now,
                          const NodeId& sidecar,
                          Incarnation incarnation,
                          const Heartbeat& heartbeat) {
  AnswerRequests(sidecar, incarnation, heartbeat.reply_to);
  const auto it = members_.find(sidecar);
  if (it == members_.end()) {
    return false;
  }
  Member& member = it->second;
  const auto question = member.questions.find(heartbeat.reply_to);
  const bool asked = question != member.questions.end();
  // Neither an answer in time nor its own word: it may be minutes old.
  if (!asked && heartbeat.reply_to != 0) {
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
  if (asked) {
    member.confirmed_at = question->second;
    member.questions.erase(member.questions.begin(), std::next(question));
    member.silent_since = kNoTime;
    member.next_question =
        now + period_ -
        static_cast<DurationUs>(random_->Below(period_ / 8 + 1));
  } else if (member.state == NodeState::kSuspect ||
             member.state == NodeState::kDead) {
    // It speaks, but does not hear this entry: the path is one way.
    return false;
  }
  member.said = heartbeat.state;
  SetState(sidecar, member,
           member.listed_leaving && member.said == NodeState::kReady
               ? NodeState::kLeaving
               : member.said);
  return true;
}

void Membership::AnswerRequests(const NodeId& sidecar,
                                Incarnation incarnation,
                                std::uint64_t sequence) {
  const auto it = requests_.find(sequence);
  if (it == requests_.end() || it->second.sidecar != sidecar) {
    return;
  }
  output_->SendToEntry(it->second.entry, ReachReport{sidecar, incarnation});
  requests_.erase(it);
}

void Membership::OnReachQuery(TimeUs now,
                              const NodeId& entry,
                              const ReachQuery& query) {
  const auto it = members_.find(query.sidecar);
  if (it != members_.end() && it->second.confirmed_at >= 0 &&
      now - it->second.confirmed_at < kFresh) {
    output_->SendToEntry(entry,
                         ReachReport{query.sidecar, it->second.incarnation});
    return;
  }
  const std::uint64_t sequence = next_sequence_++;
  requests_[sequence] = {entry, query.sidecar, sequence, now};
  output_->AskSidecar(query.sidecar, sequence);
}

void Membership::OnReachReport(TimeUs now, const ReachReport& report) {
  const auto it = members_.find(report.sidecar);
  if (it == members_.end() || it->second.state != NodeState::kSuspect ||
      it->second.incarnation != report.incarnation) {
    return;
  }
  metrics_->Count("acaciachute_reached_through_others_total");
  it->second.confirmed_at = now;
}

void Membership::OnHostList(TimeUs now, const std::vector<HostHint>& hosts) {
  for (const auto& host : hosts) {
    const auto it = members_.find(host.node);
    if (it == members_.end()) {
      continue;
    }
    Member& member = it->second;
    // The list may tell of the process that this one replaced.
    const bool about_this =
        member.first_heard_at >= 0 && now - member.first_heard_at >= kListLag;
    member.listed_leaving = host.leaving && about_this;
    if (member.state != NodeState::kReady &&
        member.state != NodeState::kLeaving) {
      continue;
    }
    SetState(host.node, member,
             member.listed_leaving ? NodeState::kLeaving : member.said);
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
