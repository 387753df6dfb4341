#include "coordination/control/pool_control.h"

#include <algorithm>
#include <utility>

#include "text.h"

namespace acaciachute {

PoolControl::PoolControl(std::string pool,
                         PoolControlOutput* output,
                         Metrics* metrics)
    : pool_(std::move(pool)), output_(output), metrics_(metrics) {}

void PoolControl::SetModels(std::vector<ModelSpec> models) {
  models_ = std::move(models);
}

void PoolControl::OnTick(TimeUs now,
                         FenceNumber fence,
                         const std::vector<ControlTarget>& targets) {
  if (fence != fence_) {
    // A new number invalidates the order in progress; without a number no order
    // may be sent.
    fence_ = fence;
    order_.reset();
  }
  if (fence == 0) {
    return;
  }
  if (order_) {
    const bool target_present = std::any_of(
        targets.begin(), targets.end(), [&](const ControlTarget& it) {
          return it.sidecar == order_->sidecar &&
                 it.incarnation == order_->message.sidecar;
        });
    if (!target_present) {
      // The target's process has stopped or was replaced; its successor would
      // refuse a copy.
      order_.reset();
    } else if (now - order_->sent_at >= kResendPeriod) {
      order_->sent_at = now;
      output_->SendOrder(order_->sidecar, order_->message);
    }
    return;
  }
  while (!recent_starts_.empty() &&
         recent_starts_.front() + 60 * kSecond <= now) {
    recent_starts_.pop_front();
  }
  if (now >= earliest_start_ && recent_starts_.size() < kMaxOrdersPerMinute) {
    StartOrder(now, fence, targets);
  }
}

void PoolControl::StartOrder(TimeUs now,
                             FenceNumber fence,
                             const std::vector<ControlTarget>& targets) {
  for (const auto& target : targets) {
    for (const auto& model : models_) {
      if (loaded_.contains({target.sidecar, target.incarnation, model.name,
                            model.version})) {
        continue;
      }
      Order order;
      order.sidecar = target.sidecar;
      order.message.order_id = StrCat(pool_, "/", fence, "/", next_order_++);
      order.message.sidecar = target.incarnation;
      order.message.kind = OrderKind::kLoadModel;
      order.message.fence = fence;
      order.message.model = model.name;
      order.message.model_version = model.version;
      order.sent_at = now;
      recent_starts_.push_back(now);
      metrics_->Count("acaciachute_orders_begun_total");
      order_ = std::move(order);
      output_->SendOrder(order_->sidecar, order_->message);
      return;
    }
  }
}

bool PoolControl::OnResult(TimeUs now,
                           const NodeId& sidecar,
                           const ControlOrderResult& result) {
  if (!order_ || order_->sidecar != sidecar ||
      order_->message.order_id != result.order_id) {
    return false;
  }
  metrics_->Count("acaciachute_orders_ended_total", Name(result.reason));
  if (result.reason == Refusal::kNone) {
    loaded_.insert({sidecar, order_->message.sidecar, order_->message.model,
                    order_->message.model_version});
    order_.reset();
    return false;
  }
  order_.reset();
  earliest_start_ = now + kFailureRetryDelay;
  // A sidecar that started under this number does not know which orders its
  // predecessor forwarded under it.
  return result.reason == Refusal::kNotCurrent && result.fence == fence_;
}

}  // namespace acaciachute
