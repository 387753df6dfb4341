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
      rank_ < kCandidates ? kWatchPeriod : kFarWatchPeriod;
  return period * 3 / 4 + static_cast<DurationUs>(random_->Below(period / 2));
}

void Lease::Call(std::vector<StoreOp> ops) {
  waiting_for_ = next_ticket_++;
  output_->CallTable(pool_, waiting_for_, std::move(ops));
}

void Lease::OnTick(TimeUs now) {
  if (waiting_for_ != 0 || now < due_) {
    return;
  }
  if (write_ != Write::kNone) {
    SendWrite();
    return;
  }
  if (ours_) {
    StartWrite(now, leaving_ ? Write::kRelease : Write::kRenew,
               std::exchange(raise_, false) ? fence_ + 1 : fence_);
    return;
  }
  if (leaving_) {
    return;
  }
  if (seen_since_ && now >= TakeOverAt()) {
    StartWrite(now, Write::kAcquire, seen_.fence + 1);
    return;
  }
  Call({{StoreOpKind::kRead, LeaseRowKey(pool_), "", 0}});
}

void Lease::StartWrite(TimeUs now, Write kind, FenceNumber fence) {
  write_ = kind;
  written_ = {kind == Write::kRelease ? NodeId() : node_, fence,
              random_->Next()};
  base_ = seen_version_;
  first_sent_at_ = now;
  may_have_landed_ = false;
  SendWrite();
}

void Lease::SendWrite() {
  Call({{base_ == 0 ? StoreOpKind::kInsert : StoreOpKind::kUpdate,
         LeaseRowKey(pool_), EncodeLease(written_), base_}});
}

void Lease::OnTableAnswer(TimeUs now,
                          StoreTicket ticket,
                          const StoreAnswer& answer) {
  if (ticket != waiting_for_) {
    return;
  }
  waiting_for_ = 0;
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
    due_ = std::min(due_, std::max(now + kRetryPause, TakeOverAt()));
  }
}

// When the row will have stood unchanged for long enough.
TimeUs Lease::TakeOverAt() const {
  const auto place = static_cast<DurationUs>(std::min(rank_, kCandidates));
  return *seen_since_ + (seen_.holder.empty() ? 0 : kTerm) +
         place * kRankPause + kMillisecond;
}

void Lease::Observe(TimeUs now, const StoreRow& row) {
  if (seen_since_ && row.version == seen_version_) {
    return;
  }
  seen_version_ = row.version;
  // When it was seen, which is never before it was written.
  seen_since_ = now;
  seen_ = {};
  if (row.version != 0) {
    if (const auto lease = DecodeLease(row.value); lease.ok()) {
      seen_ = *lease;
    }
  }
}

// Failure: the answer to a write is lost after its effect. Symptom: the holder
// believes that it lost the lease, or a candidate that it holds none. The same
// write is sent again under its nonce until the table says which: it holds now,
// or the row that stands carries the nonce, or another's.
void Lease::OnWritten(TimeUs now, const StoreAnswer& answer) {
  due_ = now + kRetryPause;
  switch (answer.status) {
    case StoreStatus::kOk:
      Took(now, answer.rows.empty() ? base_ + 1 : answer.rows[0].version);
      return;
    case StoreStatus::kUnknown:
      may_have_landed_ = true;
      return;
    case StoreStatus::kUnavailable:
      // Never sent: an acquisition is thought over again, with a new read.
      if (!may_have_landed_ && write_ == Write::kAcquire) {
        write_ = Write::kNone;
        seen_since_.reset();
      }
      return;
    case StoreStatus::kConflict:
      break;
  }
  const auto lease = answer.rows.empty() ? absl::NotFoundError("no row")
                                         : DecodeLease(answer.rows[0].value);
  if (lease.ok() && lease->nonce == written_.nonce) {
    Took(now, answer.rows[0].version);
    return;
  }
  if (ours_) {
    metrics_->Count("acaciachute_leases_total", "lost");
  }
  ours_ = false;
  held_until_ = 0;
  write_ = Write::kNone;
  if (!answer.rows.empty()) {
    Observe(now, answer.rows[0]);
  }
}

void Lease::Took(TimeUs now, std::uint64_t version) {
  seen_version_ = version;
  seen_ = written_;
  seen_since_ = now;
  const Write kind = std::exchange(write_, Write::kNone);
  if (kind == Write::kRelease) {
    ours_ = false;
    held_until_ = 0;
    return;
  }
  if (kind == Write::kAcquire) {
    metrics_->Count("acaciachute_leases_total", "acquired");
  }
  ours_ = true;
  fence_ = written_.fence;
  held_until_ = leaving_ ? 0 : first_sent_at_ + kTerm - kMargin;
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
