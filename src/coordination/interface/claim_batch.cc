#include "coordination/interface/claim_batch.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace acaciachute {
namespace {

// Maximum number of transactions sent back to back after an idle period.
constexpr int kMaxBurstTransactions = 8;

}  // namespace

ClaimBatch::ClaimBatch(StoreCalls* calls, Metrics* metrics, double rate)
    : calls_(calls),
      metrics_(metrics),
      period_(static_cast<DurationUs>(kSecond / std::max(rate, 0.1))) {}

void ClaimBatch::Add(TimeUs now, StoreOp op, DoneFn done) {
  queue_.push_back({std::move(op), std::move(done)});
  Flush(now);
}

void ClaimBatch::OnTick(TimeUs now) {
  Flush(now);
}

TimeUs ClaimBatch::NextWakeup() const {
  return queue_.empty() || in_flight_ >= kMaxInFlight
             ? std::numeric_limits<TimeUs>::max()
             : next_at_;
}

void ClaimBatch::Flush(TimeUs now) {
  while (!queue_.empty() && in_flight_ < kMaxInFlight && next_at_ <= now) {
    next_at_ =
        std::max(next_at_, now - kMaxBurstTransactions * period_) + period_;
    Send(now, TakeItems());
  }
}

// Takes the next batch, with at most one write per row: the table checks all
// conditions before it applies any write, so two inserts of the same row would
// both pass. The second one stays in the queue.
ClaimBatch::Items ClaimBatch::TakeItems() {
  Items items;
  std::deque<Item> deferred;
  std::set<std::string> keys;
  std::size_t bytes = 0;
  while (!queue_.empty() && items.size() < kMaxOpsPerTransaction) {
    Item item = std::move(queue_.front());
    queue_.pop_front();
    bytes += item.op.key.size() + item.op.value.size();
    if (bytes > kMaxBytesPerTransaction && !items.empty()) {
      queue_.push_front(std::move(item));
      break;
    }
    if (item.op.kind == StoreOpKind::kRead || keys.insert(item.op.key).second) {
      items.push_back(std::move(item));
    } else {
      deferred.push_back(std::move(item));
    }
  }
  queue_.insert(queue_.begin(), std::make_move_iterator(deferred.begin()),
                std::make_move_iterator(deferred.end()));
  return items;
}

void ClaimBatch::Send(TimeUs now, Items items) {
  metrics_->Count("acaciachute_claim_transactions_total");
  metrics_->Count("acaciachute_claim_writes_total", "", items.size());
  std::vector<StoreOp> ops;
  ops.reserve(items.size());
  for (const auto& it : items) {
    ops.push_back(it.op);
  }
  ++in_flight_;
  calls_->Call(std::move(ops),
               [this, items = std::move(items)](
                   TimeUs at, const StoreAnswer& answer) mutable {
                 --in_flight_;
                 OnAnswer(at, std::move(items), answer);
                 Flush(at);
               });
}

void ClaimBatch::OnAnswer(TimeUs now, Items items, const StoreAnswer& answer) {
  if (answer.status == StoreStatus::kConflict) {
    SplitConflict(now, std::move(items), answer);
    return;
  }
  // An answer whose rows do not correspond to the operations is not evidence of
  // any outcome.
  StoreStatus status = answer.status;
  if (status == StoreStatus::kOk && answer.rows.size() != items.size()) {
    status = StoreStatus::kUnknown;
  }
  for (std::size_t n = 0; n < items.size(); ++n) {
    items[n].done(now, status,
                  status == StoreStatus::kOk ? answer.rows[n] : StoreRow{});
  }
}

void ClaimBatch::SplitConflict(TimeUs now,
                               Items items,
                               const StoreAnswer& answer) {
  std::map<std::string_view, const StoreRow*> rows;
  for (const auto& row : answer.rows) {
    rows[row.key] = &row;
  }
  Items conflicting;
  Items remaining;
  for (auto& it : items) {
    (rows.contains(it.op.key) ? conflicting : remaining)
        .push_back(std::move(it));
  }
  // A conflict that names none of the written rows is not evidence of any
  // outcome, and a retry would repeat it indefinitely.
  if (conflicting.empty()) {
    for (const auto& it : remaining) {
      it.done(now, StoreStatus::kUnknown, {});
    }
    return;
  }
  if (!remaining.empty()) {
    metrics_->Count("acaciachute_claim_resubmitted_total", "",
                    remaining.size());
    Send(now, std::move(remaining));
  }
  for (const auto& it : conflicting) {
    it.done(now, StoreStatus::kConflict, *rows[it.op.key]);
  }
}

}  // namespace acaciachute
