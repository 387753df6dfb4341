#include "coordination/control/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/status/status.h"
#include "text.h"

namespace acaciachute {

std::string LeaseRowKey(std::string_view pool) {
  return StrCat("lease/", pool);
}

std::string EncodeLease(const LeaseRow& row) {
  return nlohmann::json{
      {"holder", row.holder}, {"fence", row.fence}, {"nonce", row.nonce}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<LeaseRow> DecodeLease(std::string_view text) {
  const auto in = nlohmann::json::parse(text, nullptr, false);
  try {
    return LeaseRow{in.at("holder").get<std::string>(),
                    in.at("fence").get<FenceNumber>(),
                    in.at("nonce").get<std::uint64_t>()};
  } catch (const nlohmann::json::exception& e) {
    return absl::DataLossError(StrCat("lease row: ", e.what()));
  }
}

Lease::Lease(std::string pool,
             NodeId node,
             LeaseOutput* output,
             Random* random,
             Metrics* metrics)
    : pool_(std::move(pool)),
      node_(std::move(node)),
      output_(output),
      random_(random),
      metrics_(metrics) {}

DurationUs Lease::WatchPeriod() const {
  const DurationUs period =
      rank_ < kActiveCandidates ? kWatchPeriod : kStandbyWatchPeriod;
  return period * 3 / 4 + static_cast<DurationUs>(random_->Below(period / 2));
}

void Lease::Call(std::vector<StoreOp> ops) {
  pending_ticket_ = next_ticket_++;
  output_->CallTable(pool_, pending_ticket_, std::move(ops));
}

void Lease::OnTick(TimeUs now) {
  if (pending_ticket_ != 0 || now < due_) {
    return;
  }
  if (write_ != Write::kNone) {
    SendWrite();
    return;
  }
  if (row_is_own_) {
    StartWrite(now, leaving_ ? Write::kRelease : Write::kRenew,
               std::exchange(raise_number_, false) ? fence_ + 1 : fence_);
    return;
  }
  if (leaving_) {
    return;
  }
  if (observed_since_ && now >= TakeOverTime()) {
    StartWrite(now, Write::kAcquire, observed_.fence + 1);
    return;
  }
  Call({{StoreOpKind::kRead, LeaseRowKey(pool_), "", 0}});
}

void Lease::StartWrite(TimeUs now, Write kind, FenceNumber fence) {
  write_ = kind;
  pending_row_ = {kind == Write::kRelease ? NodeId() : node_, fence,
                  random_->Next()};
  base_version_ = observed_version_;
  first_sent_at_ = now;
  may_be_applied_ = false;
  SendWrite();
}

void Lease::SendWrite() {
  Call({{base_version_ == 0 ? StoreOpKind::kInsert : StoreOpKind::kUpdate,
         LeaseRowKey(pool_), EncodeLease(pending_row_), base_version_}});
}

void Lease::OnTableAnswer(TimeUs now,
                          StoreTicket ticket,
                          const StoreAnswer& answer) {
  if (ticket != pending_ticket_) {
    return;
  }
  pending_ticket_ = 0;
  if (write_ == Write::kNone) {
    OnRead(now, answer);
  } else {
    OnWritten(now, answer);
  }
}

void Lease::OnRead(TimeUs now, const StoreAnswer& answer) {
  due_ = now + WatchPeriod();
  if (answer.status == StoreStatus::kOk && !answer.rows.empty()) {
    Observe(now, answer.rows[0]);
    due_ = std::min(due_, std::max(now + kRetryDelay, TakeOverTime()));
  }
}

// Time at which the row will have been unchanged for long enough to take over.
TimeUs Lease::TakeOverTime() const {
  const auto rank = static_cast<DurationUs>(std::min(rank_, kActiveCandidates));
  return *observed_since_ + (observed_.holder.empty() ? 0 : kLeaseDuration) +
         rank * kRankDelay + kMillisecond;
}

void Lease::Observe(TimeUs now, const StoreRow& row) {
  if (observed_since_ && row.version == observed_version_) {
    return;
  }
  observed_version_ = row.version;
  // Time of the observation, which is never before that of the write.
  observed_since_ = now;
  observed_ = {};
  if (row.version != 0) {
    if (const auto lease = DecodeLease(row.value); lease.ok()) {
      observed_ = *lease;
    }
  }
}

// Handles the answer to a write. If an answer is lost after the write took
// effect, a holder would assume that it lost the lease, or a candidate that it
// does not hold one. So the same write is sent again under its nonce until the
// table gives a result: the write succeeds, or the row in the table carries
// this nonce or another one.
void Lease::OnWritten(TimeUs now, const StoreAnswer& answer) {
  due_ = now + kRetryDelay;
  switch (answer.status) {
    case StoreStatus::kOk:
      OnWriteConfirmed(now, answer.rows.empty() ? base_version_ + 1
                                                : answer.rows[0].version);
      return;
    case StoreStatus::kUnknown:
      may_be_applied_ = true;
      return;
    case StoreStatus::kUnavailable:
      // The write was not sent: an acquisition starts again with a new read.
      if (!may_be_applied_ && write_ == Write::kAcquire) {
        write_ = Write::kNone;
        observed_since_.reset();
      }
      return;
    case StoreStatus::kConflict:
      break;
  }
  const auto lease = answer.rows.empty() ? absl::NotFoundError("no row")
                                         : DecodeLease(answer.rows[0].value);
  if (lease.ok() && lease->nonce == pending_row_.nonce) {
    OnWriteConfirmed(now, answer.rows[0].version);
    return;
  }
  if (row_is_own_) {
    metrics_->Count("acaciachute_leases_total", "lost");
  }
  row_is_own_ = false;
  held_until_ = 0;
  write_ = Write::kNone;
  if (!answer.rows.empty()) {
    Observe(now, answer.rows[0]);
  }
}

void Lease::OnWriteConfirmed(TimeUs now, std::uint64_t version) {
  observed_version_ = version;
  observed_ = pending_row_;
  observed_since_ = now;
  const Write kind = std::exchange(write_, Write::kNone);
  if (kind == Write::kRelease) {
    row_is_own_ = false;
    held_until_ = 0;
    return;
  }
  if (kind == Write::kAcquire) {
    metrics_->Count("acaciachute_leases_total", "acquired");
  }
  row_is_own_ = true;
  fence_ = pending_row_.fence;
  held_until_ =
      leaving_ ? 0 : first_sent_at_ + kLeaseDuration - kClockDriftMargin;
  due_ = leaving_ ? now : first_sent_at_ + kRenewPeriod;
}

void Lease::Release() {
  leaving_ = true;
  held_until_ = 0;
  due_ = 0;
}

void Lease::OnFenced(FenceNumber seen) {
  if (seen > fence_) {
    held_until_ = 0;
  }
}

}  // namespace acaciachute
