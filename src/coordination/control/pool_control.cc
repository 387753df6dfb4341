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
    // Under a new number an order is a new one; without a number there is none.
    fence_ = fence;
    order_.reset();
  }
  if (fence == 0) {
    return;
  }
  if (order_) {
    const bool there = std::any_of(
        targets.begin(), targets.end(), [&](const ControlTarget& it) {
          return it.sidecar == order_->sidecar &&
                 it.incarnation == order_->message.sidecar;
        });
    if (!there) {
      order_.reset();  // Its process is gone; another copy would be refused.
    } else if (now - order_->sent_at >= kRepeat) {
      order_->sent_at = now;
      output_->SendOrder(order_->sidecar, order_->message);
    }
    return;
  }
  while (!begun_.empty() && begun_.front() + 60 * kSecond <= now) {
    begun_.pop_front();
  }
  if (now >= not_before_ && begun_.size() < kPerMinute) {
    Begin(now, fence, targets);
  }
}

void PoolControl::Begin(TimeUs now,
                        FenceNumber fence,
                        const std::vector<ControlTarget>& targets) {
  for (const auto& target : targets) {
    for (const auto& model : models_) {
      if (done_.contains({target.sidecar, target.incarnation, model.name,
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
      begun_.push_back(now);
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
    done_.insert({sidecar, order_->message.sidecar, order_->message.model,
                  order_->message.model_version});
    order_.reset();
    return false;
  }
  order_.reset();
  not_before_ = now + kAfterFailure;
  // A sidecar that started under this number cannot know what its predecessor
  // passed under it.
  return result.reason == Refusal::kNotCurrent && result.fence == fence_;
}

}  // namespace acaciachute
