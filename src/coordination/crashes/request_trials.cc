#include "coordination/crashes/request_trials.h"

#include <xxhash.h>

#include <algorithm>

namespace acaciachute {

bool RequestTrials::Ask(TimeUs now, const std::string& cause, ExchangeId copy) {
  Copy& it = copies_[copy];
  if (it.may_send) {
    return true;
  }
  it.cause = cause;
  const NodeId decider = DeciderOf(cause);
  if (decider != it.decider) {
    it.decider = decider;
    it.next_ask_at = now;
  }
  if (decider == self_) {
    const Decision decision = Decide(now, self_, cause, copy);
    it.may_send = decision != Decision::kWait;
    it.alone = decision == Decision::kAlone;
    it.next_ask_at = now + kRenewInterval;
  } else if (now >= it.next_ask_at) {
    it.next_ask_at = now + kAskInterval;
    output_->SendTrialMessage(decider, CrashTrialRequest{cause, copy});
  }
  return it.may_send;
}

bool RequestTrials::MaySend(ExchangeId copy) const {
  const auto it = copies_.find(copy);
  return it != copies_.end() && it->second.may_send;
}

bool RequestTrials::IsTrial(ExchangeId copy) const {
  const auto it = copies_.find(copy);
  return it != copies_.end() && it->second.may_send && it->second.alone;
}

// A copy that may not try yet may be let try by a message on its way: `OnGrant`
// then finds none.
void RequestTrials::OnEnded(TimeUs now, ExchangeId copy, Result result) {
  const auto it = copies_.find(copy);
  if (it == copies_.end()) {
    return;
  }
  const Copy ended = it->second;
  copies_.erase(it);
  if (!ended.may_send) {
    return;
  }
  const bool sent = result != Result::kNotSent;
  const bool answered = result == Result::kAnswered;
  const bool begun = result == Result::kBegun;
  log_->Write("trial_ended", {{"cause", ended.cause},
                              {"alone", ended.alone},
                              {"sent", sent},
                              {"answered", answered},
                              {"begun", begun}});
  TellEnd(now, ended.decider, {ended.cause, copy, sent, answered, begun});
}

void RequestTrials::OnRequest(TimeUs now,
                              const NodeId& from,
                              const CrashTrialRequest& request) {
  const Decision decision = Decide(now, from, request.cause, request.copy);
  if (decision != Decision::kWait) {
    output_->SendTrialMessage(from,
                              CrashTrialGrant{request.cause, request.copy,
                                              decision == Decision::kAlone});
  }
}

void RequestTrials::OnGrant(TimeUs now,
                            const NodeId& from,
                            const CrashTrialGrant& grant) {
  const auto it = copies_.find(grant.copy);
  if (it == copies_.end() || it->second.cause != grant.cause) {
    TellEnd(now, from, {grant.cause, grant.copy, false, false, false});
    return;
  }
  if (!it->second.may_send) {
    it->second.may_send = true;
    it->second.alone = grant.alone;
    it->second.decider = from;
    it->second.next_ask_at = now + kRenewInterval;
  }
}

void RequestTrials::OnEnd(TimeUs now,
                          const NodeId& from,
                          const CrashTrialEnd& end) {
  Close(now, from, end);
}

void RequestTrials::OnTick(TimeUs now) {
  Renew(now);
  TellEnds(now);
  std::erase_if(trials_, [now](const auto& it) {
    const Trials& trials = it.second;
    return now >= trials.lease_until && now >= trials.next_at &&
           now >= trials.begun_until &&
           (trials.open.empty() || now - trials.open.back() > kOpenTime);
  });
}

RequestTrials::Decision RequestTrials::Decide(TimeUs now,
                                              const NodeId& from,
                                              const std::string& cause,
                                              ExchangeId copy) {
  Trials& trials = trials_[cause];
  const bool in_progress = now < trials.lease_until;
  if (in_progress && trials.gateway == from && trials.copy == copy) {
    trials.lease_until = now + kLease;
    return Decision::kAlone;
  }
  if (now < trials.begun_until) {
    return Decision::kWithOthers;
  }
  std::erase_if(trials.open,
                [now](TimeUs begun) { return now - begun > kOpenTime; });
  if (in_progress || now < trials.next_at ||
      trials.open.size() >= kMaxOpenTrials) {
    return Decision::kWait;
  }
  trials.gateway = from;
  trials.copy = copy;
  trials.lease_until = now + kLease;
  trials.open.push_back(now);
  log_->Write(
      "trial_begun",
      {{"cause", cause}, {"gateway", from}, {"open", trials.open.size()}});
  return Decision::kAlone;
}

void RequestTrials::Close(TimeUs now,
                          const NodeId& from,
                          const CrashTrialEnd& end) {
  const auto it = trials_.find(end.cause);
  if (it == trials_.end()) {
    return;
  }
  Trials& trials = it->second;
  if (end.begun) {
    trials.begun_until = now + kBegunTime;
  } else if (end.sent && !end.answered) {
    trials.begun_until = 0;
  }
  if (trials.gateway != from || trials.copy != end.copy) {
    return;
  }
  trials.gateway.clear();
  trials.lease_until = 0;
  if (end.answered || end.begun) {
    trials.open.clear();
  } else if (end.sent) {
    trials.next_at = now + kSettleTime;
  } else if (!trials.open.empty()) {
    trials.open.pop_back();
  }
}

void RequestTrials::TellEnd(TimeUs now,
                            const NodeId& decider,
                            const CrashTrialEnd& end) {
  if (decider == self_) {
    Close(now, self_, end);
    return;
  }
  untold_.push_back({decider, end, now, 0});
  TellEnds(now);
}

void RequestTrials::TellEnds(TimeUs now) {
  for (UntoldEnd& it : untold_) {
    if (now >= it.next_at) {
      output_->SendTrialMessage(it.decider, it.end);
      it.next_at = now + kAskInterval;
      ++it.sends;
    }
  }
  std::erase_if(untold_,
                [](const UntoldEnd& it) { return it.sends >= kEndSends; });
}

void RequestTrials::Renew(TimeUs now) {
  for (auto& [copy, it] : copies_) {
    if (!it.may_send || !it.alone || now < it.next_ask_at) {
      continue;
    }
    it.next_ask_at = now + kRenewInterval;
    if (it.decider == self_) {
      Decide(now, self_, it.cause, copy);
    } else {
      output_->SendTrialMessage(it.decider, CrashTrialRequest{it.cause, copy});
    }
  }
}

NodeId RequestTrials::DeciderOf(const std::string& cause) const {
  const auto weight = [&cause](const NodeId& node) {
    return XXH3_64bits_withSeed(node.data(), node.size(),
                                XXH3_64bits(cause.data(), cause.size()));
  };
  std::vector<NodeId> nodes = output_->LivePeers();
  nodes.push_back(self_);
  return *std::max_element(
      nodes.begin(), nodes.end(), [&](const NodeId& a, const NodeId& b) {
        return std::pair(weight(a), a) < std::pair(weight(b), b);
      });
}

}  // namespace acaciachute
