#include "coordination/tables/table_relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciachute {

TableRelay::TableRelay(std::string table,
                       TableRelayOutput* output,
                       const SplitRow* split_row)
    : table_(std::move(table)), output_(output), split_row_(split_row) {}

// Rows that are missing from the new table were removed some time before. They
// are recorded as removals, so a requester that still has them receives the
// removal like any other change and need not read the complete table because
// the store has dropped its history.
void TableRelay::OnTable(const std::vector<TableRow>& rows,
                         std::uint64_t version) {
  std::set<std::string> present;
  for (const TableRow& it : rows) {
    present.insert(it.key);
  }
  std::vector<std::string> missing;
  for (const auto& [key, row] : rows_) {
    if (!present.contains(key)) {
      missing.push_back(key);
    }
  }
  for (const auto& key : missing) {
    OnRow({key, "", version, true});
  }
  for (const TableRow& it : rows) {
    OnRow(it);
  }
  if (!known_) {
    history_from_ = version;
  }
  known_ = true;
}

void TableRelay::OnRow(const TableRow& row) {
  if (const auto it = rows_.find(row.key); it != rows_.end()) {
    table_bytes_ -= it->second.value.size();
    rows_by_version_.erase({it->second.version, row.key});
    rows_.erase(it);
  }
  if (const auto it = removed_.find(row.key); it != removed_.end()) {
    removals_by_version_.erase({it->second, row.key});
    removed_.erase(it);
  }
  if (!row.removed) {
    table_bytes_ += row.value.size();
    rows_by_version_.emplace(row.version, row.key);
    rows_[row.key] = row;
    return;
  }
  removed_[row.key] = row.version;
  removals_by_version_.emplace(row.version, row.key);
  if (removals_by_version_.size() > kMaxRemovedRows) {
    const auto& [version, key] = *removals_by_version_.begin();
    history_from_ = std::max(history_from_, version);
    removed_.erase(key);
    removals_by_version_.erase(removals_by_version_.begin());
  }
}

void TableRelay::OnCurrent(TimeUs known_at, std::uint64_t version) {
  store_lost_ = false;
  known_at_ = std::max(known_at_, known_at);
  version_ = std::max(version_, version);
  ReplyAll(&TableRelay::ChangesSince);
}

void TableRelay::OnLost() {
  if (!std::exchange(store_lost_, true)) {
    ReplyAll(&TableRelay::HoldTimeoutAnswer);
  }
}

void TableRelay::ReplyAll(TableAnswer (TableRelay::*answer)(const HeldRequest&)
                              const) {
  for (const HeldRequest& it : std::exchange(held_requests_, {})) {
    Reply(it, (this->*answer)(it));
  }
}

void TableRelay::Reply(const HeldRequest& held, TableAnswer answer) {
  output_->SendToPeer(
      held.from, TableReply{table_, held.request.sequence, std::move(answer)});
}

bool TableRelay::CanAnswer(const TableRequest& request) const {
  return known_ && (request.complete_table ? version_ >= request.after
                                           : request.after >= history_from_);
}

bool TableRelay::HasChanges(const TableRequest& request) const {
  const auto has_newer = [&](const VersionIndex& changes) {
    return !changes.empty() && changes.rbegin()->first > request.after;
  };
  return HasNewerSplitRow(request) ||
         (version_ > request.after &&
          (has_newer(rows_by_version_) || has_newer(removals_by_version_)));
}

bool TableRelay::HasNewerSplitRow(const TableRequest& request) const {
  return split_row_ != nullptr &&
         split_row_->version() > request.split_row.version;
}

bool TableRelay::ShouldAnswerNow(const HeldRequest& held) const {
  const TableRequest& request = held.request;
  if (!CanAnswer(request)) {
    return true;  // The answer is that this gateway has no data for it.
  }
  if (store_lost_ || version_ < request.after) {
    // A newer split row helps also while nobody knows whether it is the newest.
    return HasNewerSplitRow(request);
  }
  const DurationUs age = held.arrived_at - known_at_;
  return request.complete_table || request.wait == 0 ||
         age + kMinAgeGain < request.age || HasChanges(request);
}

TableAnswer TableRelay::ChangesSince(const HeldRequest& held) const {
  TableAnswer answer = RowsSince(held);
  if (split_row_ == nullptr || answer.kind != TableAnswer::Kind::kRows) {
    return answer;
  }
  answer.split_row = split_row_->PageAfter(held.request.split_row);
  if (answer.split_row && answer.split_row->truncated) {
    answer.rows.clear();
    answer.known_after.reset();
  }
  return answer;
}

TableAnswer TableRelay::RowsSince(const HeldRequest& held) const {
  const TableRequest& request = held.request;
  TableAnswer answer;
  if (!known_ || (request.complete_table && table_bytes_ > kMaxTableBytes)) {
    answer.why = "the table is not held here";
    return answer;
  }
  if (request.complete_table && version_ < request.after) {
    answer.why = "an older table than the asker's";
    return answer;
  }
  if (!request.complete_table && request.after < history_from_) {
    answer.kind = TableAnswer::Kind::kHistoryTruncated;
    return answer;
  }
  answer.kind = TableAnswer::Kind::kRows;
  answer.version = version_;
  if (version_ < request.after) {
    answer.known_after.reset();  // The requester has a newer version.
    return answer;
  }
  answer.known_after = known_at_ - held.arrived_at;
  if (request.complete_table) {
    answer.rows.reserve(rows_.size());
    for (const auto& [key, row] : rows_) {
      answer.rows.push_back(row);
    }
    return answer;
  }
  if (version_ == request.after) {
    return answer;
  }
  const std::pair<std::uint64_t, std::string> first{request.after + 1, ""};
  for (auto it = rows_by_version_.lower_bound(first);
       it != rows_by_version_.end(); ++it) {
    answer.rows.push_back(rows_.at(it->second));
  }
  for (auto it = removals_by_version_.lower_bound(first);
       it != removals_by_version_.end(); ++it) {
    answer.rows.push_back({it->second, "", it->first, true});
  }
  return answer;
}

TableAnswer TableRelay::HoldTimeoutAnswer(const HeldRequest& held) const {
  TableAnswer answer;
  if (split_row_ != nullptr) {
    answer.split_row = split_row_->PageAfter(held.request.split_row);
  }
  answer.version = version_;
  answer.known_after.reset();
  answer.kind =
      store_lost_ ? TableAnswer::Kind::kStoreLost : TableAnswer::Kind::kRows;
  answer.why = store_lost_ ? "the store does not answer there" : "";
  return answer;
}

void TableRelay::OnTableRequest(TimeUs now,
                                const NodeId& from,
                                const TableRequest& request) {
  std::erase_if(held_requests_,
                [&](const HeldRequest& held) { return held.from == from; });
  const HeldRequest held{from, request, now, now + kMaxHoldTime};
  if (ShouldAnswerNow(held)) {
    Reply(held, store_lost_ && CanAnswer(request) ? HoldTimeoutAnswer(held)
                                                  : ChangesSince(held));
  } else {
    held_requests_.push_back(held);
  }
}

void TableRelay::OnPeerLost(const NodeId& peer) {
  std::erase_if(held_requests_,
                [&](const HeldRequest& held) { return held.from == peer; });
}

void TableRelay::OnTick(TimeUs now) {
  std::vector<HeldRequest> due;
  std::copy_if(held_requests_.begin(), held_requests_.end(),
               std::back_inserter(due),
               [&](const HeldRequest& it) { return now >= it.answer_by; });
  std::erase_if(held_requests_,
                [&](const HeldRequest& it) { return now >= it.answer_by; });
  for (const HeldRequest& it : due) {
    Reply(it, HoldTimeoutAnswer(it));
  }
}

}  // namespace acaciachute
