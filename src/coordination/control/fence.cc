#include "coordination/control/fence.h"

#include <algorithm>
#include <array>

namespace acaciachute {
namespace {

// By `OrderOutcome`.
constexpr std::array<Refusal, 4> kReasons = {Refusal::kNone, Refusal::kFenced,
                                             Refusal::kUpstreamFailed,
                                             Refusal::kUpstreamFailed};

}  // namespace

FenceGuard::FenceGuard(Incarnation incarnation,
                       FenceOutput* output,
                       Metrics* metrics)
    : incarnation_(incarnation), output_(output), metrics_(metrics) {}

void FenceGuard::Start(TimeUs now) {
  output_->ReadUpstreamFence();
  ReadLease(now);
}

void FenceGuard::ReadLease(TimeUs now) {
  reading_ = true;
  read_at_ = now;
  output_->ReadLease(++ticket_);
}

void FenceGuard::Raise(FenceNumber number) {
  if (number > in_force_) {
    in_force_ = number;
    outcomes_.clear();
  }
}

void FenceGuard::Answer(const NodeId& holder,
                        const std::string& order_id,
                        Refusal reason) {
  metrics_->Count("acaciachute_orders_total", Name(reason));
  output_->AnswerOrder(holder, {order_id, reason, in_force_});
}

void FenceGuard::OnOrder(TimeUs now,
                         const NodeId& from,
                         const ControlOrder& order) {
  const auto same_id = [&](const Waiting& it) {
    return it.order.order_id == order.order_id;
  };
  if (order.sidecar != incarnation_) {
    Answer(from, order.order_id, Refusal::kNotCurrent);
  } else if (order.fence < in_force_) {
    Answer(from, order.order_id, Refusal::kFenced);
  } else if (const auto it = outcomes_.find(order.order_id);
             it != outcomes_.end()) {
    Answer(from, order.order_id, it->second);
  } else if (std::any_of(waiting_.begin(), waiting_.end(), same_id)) {
    // Its outcome is on the way to whoever sent the first copy.
    metrics_->Count("acaciachute_orders_repeated_total");
  } else if (waiting_.size() >= kMostWaiting) {
    Answer(from, order.order_id, Refusal::kFull);
  } else {
    waiting_.push_back({from, order});
    if (waiting_.size() == 1) {
      ReadLease(now);
    }
  }
}

// Whether the first order may be passed, the lease's row having been read.
Refusal FenceGuard::Check(const ControlOrder& order) const {
  if (order.fence < in_force_) {
    return Refusal::kFenced;
  }
  const bool known_since_start =
      upstream_keeps_numbers_ || order.fence > at_start_.value_or(order.fence);
  if (!upstream_known_ || !known_since_start || order.fence > in_force_) {
    return Refusal::kNotCurrent;
  }
  return outcomes_.size() >= kMostOutcomes ? Refusal::kFull : Refusal::kNone;
}

void FenceGuard::OnLease(TimeUs now,
                         std::uint64_t ticket,
                         std::optional<FenceNumber> number) {
  if (!reading_ || ticket != ticket_) {
    return;
  }
  reading_ = false;
  if (number) {
    Raise(*number);
    at_start_ = at_start_.value_or(*number);
  }
  if (waiting_.empty() || passing_) {
    return;
  }
  if (!number) {
    EndFirst(now, Refusal::kStoreDown);
    return;
  }
  if (now - read_at_ > kReadMaxAge) {
    ReadLease(now);
    return;
  }
  const ControlOrder& order = waiting_.front().order;
  const Refusal reason = Check(order);
  if (reason != Refusal::kNone) {
    EndFirst(now, reason);
    return;
  }
  passing_ = true;
  output_->PassOrder(order);
}

void FenceGuard::OnUpstreamFence(bool keeps_numbers, FenceNumber number) {
  upstream_known_ = true;
  upstream_keeps_numbers_ = keeps_numbers;
  Raise(number);
}

void FenceGuard::OnOutcome(TimeUs now,
                           const std::string& order_id,
                           OrderOutcome outcome,
                           FenceNumber number) {
  if (!passing_ || waiting_.front().order.order_id != order_id) {
    return;
  }
  passing_ = false;
  const Refusal reason = kReasons[static_cast<std::size_t>(outcome)];
  if (outcome == OrderOutcome::kRefused) {
    Raise(number);
  } else if (outcome != OrderOutcome::kNotSent) {
    outcomes_[order_id] = reason;
  }
  EndFirst(now, reason);
}

void FenceGuard::EndFirst(TimeUs now, Refusal reason) {
  const Waiting first = std::move(waiting_.front());
  waiting_.pop_front();
  Answer(first.holder, first.order.order_id, reason);
  if (!waiting_.empty()) {
    ReadLease(now);
  }
}

}  // namespace acaciachute
