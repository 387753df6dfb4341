#include "coordination/tables/table_relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciachute {

TableRelay::TableRelay(std::string table, TableRelayOutput* output)
    : table_(std::move(table)), output_(output) {}

// Rows that are no longer there were removed some time before: an asker that
// knows them hears of it like of any other change, and need not read the whole
// table because the store has dropped its history.
void TableRelay::OnTable(const std::vector<TableRow>& rows,
                         std::uint64_t version) {
  std::set<std::string> listed;
  for (const TableRow& it : rows) {
    listed.insert(it.key);
  }
  std::vector<std::string> gone;
  for (const auto& [key, row] : rows_) {
    if (!listed.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const auto& key : gone) {
    OnRow({key, "", version, true});
  }
  for (const TableRow& it : rows) {
    OnRow(it);
  }
  if (!known_) {
    kept_from_ = version;
  }
  known_ = true;
}

void TableRelay::OnRow(const TableRow& row) {
  if (const auto it = rows_.find(row.key); it != rows_.end()) {
    bytes_ -= it->second.value.size();
    changed_.erase({it->second.version, row.key});
    rows_.erase(it);
  }
  if (const auto it = removed_.find(row.key); it != removed_.end()) {
    gone_.erase({it->second, row.key});
    removed_.erase(it);
  }
  if (!row.removed) {
    bytes_ += row.value.size();
    changed_.emplace(row.version, row.key);
    rows_[row.key] = row;
    return;
  }
  removed_[row.key] = row.version;
  gone_.emplace(row.version, row.key);
  if (gone_.size() > kRemovedKept) {
    const auto& [version, key] = *gone_.begin();
    kept_from_ = std::max(kept_from_, version);
    removed_.erase(key);
    gone_.erase(gone_.begin());
  }
}

void TableRelay::OnCurrent(TimeUs known_at, std::uint64_t version) {
  lost_ = false;
  known_at_ = std::max(known_at_, known_at);
  version_ = std::max(version_, version);
  ReplyAll(&TableRelay::News);
}

void TableRelay::OnLost() {
  if (!std::exchange(lost_, true)) {
    ReplyAll(&TableRelay::WhenHeldLong);
  }
}

void TableRelay::ReplyAll(TableAnswer (TableRelay::*answer)(const Held&)
                              const) {
  for (const Held& it : std::exchange(held_, {})) {
    Reply(it, (this->*answer)(it));
  }
}

void TableRelay::Reply(const Held& held, TableAnswer answer) {
  output_->SendToPeer(
      held.from, TableReply{table_, held.request.sequence, std::move(answer)});
}

bool TableRelay::CanAnswer(const TableRequest& it) const {
  return known_ && (it.whole ? version_ >= it.after : it.after >= kept_from_);
}

bool TableRelay::HasNews(const TableRequest& it) const {
  const auto above = [&](const Changes& changes) {
    return !changes.empty() && changes.rbegin()->first > it.after;
  };
  return version_ > it.after && (above(changed_) || above(gone_));
}

bool TableRelay::AnswersAtOnce(const Held& held) const {
  const TableRequest& it = held.request;
  if (!CanAnswer(it)) {
    return true;  // That it cannot.
  }
  if (lost_ || version_ < it.after) {
    return false;
  }
  const DurationUs age = held.arrived_at - known_at_;
  return it.whole || it.wait == 0 || age + kWorthTelling < it.age ||
         HasNews(it);
}

TableAnswer TableRelay::News(const Held& held) const {
  const TableRequest& request = held.request;
  TableAnswer answer;
  if (!known_ || (request.whole && bytes_ > kMostBytes)) {
    answer.why = "the table is not held here";
    return answer;
  }
  if (request.whole && version_ < request.after) {
    answer.why = "an older table than the asker's";
    return answer;
  }
  if (!request.whole && request.after < kept_from_) {
    answer.kind = TableAnswer::Kind::kHistoryGone;
    return answer;
  }
  answer.kind = TableAnswer::Kind::kRows;
  answer.version = version_;
  if (version_ < request.after) {
    answer.known_after.reset();  // The asker knows more.
    return answer;
  }
  answer.known_after = known_at_ - held.arrived_at;
  if (request.whole) {
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
  for (auto it = changed_.lower_bound(first); it != changed_.end(); ++it) {
    answer.rows.push_back(rows_.at(it->second));
  }
  for (auto it = gone_.lower_bound(first); it != gone_.end(); ++it) {
    answer.rows.push_back({it->second, "", it->first, true});
  }
  return answer;
}

TableAnswer TableRelay::WhenHeldLong(const Held&) const {
  TableAnswer answer;
  answer.version = version_;
  answer.known_after.reset();
  answer.kind =
      lost_ ? TableAnswer::Kind::kStoreLost : TableAnswer::Kind::kRows;
  answer.why = lost_ ? "the store does not answer there" : "";
  return answer;
}

void TableRelay::OnTableRequest(TimeUs now,
                                const NodeId& from,
                                const TableRequest& it) {
  std::erase_if(held_, [&](const Held& held) { return held.from == from; });
  const Held held{from, it, now, now + kMostHeld};
  if (AnswersAtOnce(held)) {
    Reply(held, News(held));
  } else {
    held_.push_back(held);
  }
}

void TableRelay::OnPeerLost(const NodeId& peer) {
  std::erase_if(held_, [&](const Held& held) { return held.from == peer; });
}

void TableRelay::OnTick(TimeUs now) {
  std::vector<Held> due;
  std::copy_if(held_.begin(), held_.end(), std::back_inserter(due),
               [&](const Held& it) { return now >= it.until; });
  std::erase_if(held_, [&](const Held& it) { return now >= it.until; });
  for (const Held& it : due) {
    Reply(it, WhenHeldLong(it));
  }
}

}  // namespace acaciachute
