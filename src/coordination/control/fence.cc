#include "coordination/control/fence.h"

#include <algorithm>
#include <array>

namespace acaciachute {
namespace {

// Result of an order, indexed by `OrderOutcome`.
constexpr std::array<Refusal, 4> kReasonByOutcome = {
    Refusal::kNone, Refusal::kFenced, Refusal::kUpstreamFailed,
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
  lease_read_pending_ = true;
  lease_read_at_ = now;
  output_->ReadLease(++lease_ticket_);
}

void FenceGuard::RaiseFence(FenceNumber number) {
  if (number > fence_in_force_) {
    fence_in_force_ = number;
    outcomes_.clear();
  }
}

void FenceGuard::Answer(const NodeId& holder,
                        const std::string& order_id,
                        Refusal reason) {
  metrics_->Count("acaciachute_orders_total", Name(reason));
  output_->AnswerOrder(holder, {order_id, reason, fence_in_force_});
}

void FenceGuard::OnOrder(TimeUs now,
                         const NodeId& from,
                         const ControlOrder& order) {
  const auto same_id = [&](const WaitingOrder& it) {
    return it.order.order_id == order.order_id;
  };
  if (order.sidecar != incarnation_) {
    Answer(from, order.order_id, Refusal::kNotCurrent);
  } else if (order.fence < fence_in_force_) {
    Answer(from, order.order_id, Refusal::kFenced);
  } else if (const auto it = outcomes_.find(order.order_id);
             it != outcomes_.end()) {
    Answer(from, order.order_id, it->second);
  } else if (std::any_of(waiting_.begin(), waiting_.end(), same_id)) {
    // The sender of the first copy receives the outcome.
    metrics_->Count("acaciachute_orders_repeated_total");
  } else if (waiting_.size() >= kMaxWaitingOrders) {
    Answer(from, order.order_id, Refusal::kFull);
  } else {
    waiting_.push_back({from, order});
    if (waiting_.size() == 1) {
      ReadLease(now);
    }
  }
}

// Decides whether the first order may be forwarded to the upstream, after the
// lease's row was read.
Refusal FenceGuard::Check(const ControlOrder& order) const {
  if (order.fence < fence_in_force_) {
    return Refusal::kFenced;
  }
  const bool newer_than_start =
      upstream_keeps_numbers_ ||
      order.fence > fence_at_start_.value_or(order.fence);
  if (!upstream_known_ || !newer_than_start || order.fence > fence_in_force_) {
    return Refusal::kNotCurrent;
  }
  return outcomes_.size() >= kMaxOutcomes ? Refusal::kFull : Refusal::kNone;
}

void FenceGuard::OnLease(TimeUs now,
                         std::uint64_t ticket,
                         std::optional<FenceNumber> number) {
  if (!lease_read_pending_ || ticket != lease_ticket_) {
    return;
  }
  lease_read_pending_ = false;
  if (number) {
    RaiseFence(*number);
    fence_at_start_ = fence_at_start_.value_or(*number);
  }
  if (waiting_.empty() || order_in_progress_) {
    return;
  }
  if (!number) {
    AnswerFirst(now, Refusal::kStoreDown);
    return;
  }
  if (now - lease_read_at_ > kMaxLeaseReadAge) {
    ReadLease(now);
    return;
  }
  const ControlOrder& order = waiting_.front().order;
  const Refusal reason = Check(order);
  if (reason != Refusal::kNone) {
    AnswerFirst(now, reason);
    return;
  }
  order_in_progress_ = true;
  output_->ForwardOrder(order);
}

void FenceGuard::OnUpstreamFence(bool keeps_numbers, FenceNumber number) {
  upstream_known_ = true;
  upstream_keeps_numbers_ = keeps_numbers;
  RaiseFence(number);
}

void FenceGuard::OnOutcome(TimeUs now,
                           const std::string& order_id,
                           OrderOutcome outcome,
                           FenceNumber number) {
  if (!order_in_progress_ || waiting_.front().order.order_id != order_id) {
    return;
  }
  order_in_progress_ = false;
  const Refusal reason = kReasonByOutcome[static_cast<std::size_t>(outcome)];
  if (outcome == OrderOutcome::kRefused) {
    RaiseFence(number);
  } else if (outcome != OrderOutcome::kNotSent) {
    outcomes_[order_id] = reason;
  }
  AnswerFirst(now, reason);
}

void FenceGuard::AnswerFirst(TimeUs now, Refusal reason) {
  const WaitingOrder first = std::move(waiting_.front());
  waiting_.pop_front();
  Answer(first.holder, first.order.order_id, reason);
  if (!waiting_.empty()) {
    ReadLease(now);
  }
}

}  // namespace acaciachute
