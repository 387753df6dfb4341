#include "coordination/table_relay.h"

#include <algorithm>
#include <iterator>
#include <set>
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
    rows_.erase(it);
  }
  if (!row.removed) {
    bytes_ += row.value.size();
    removed_.erase(row.key);
    rows_[row.key] = row;
    return;
  }
  removed_[row.key] = row.version;
  if (removed_.size() > kRemovedKept) {
    const auto oldest = std::min_element(
        removed_.begin(), removed_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    kept_from_ = std::max(kept_from_, oldest->second);
    removed_.erase(oldest);
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
      held.from, TableReply{table_, held.question.sequence, std::move(answer)});
}

bool TableRelay::IsNews(std::uint64_t version, std::uint64_t after) const {
  return std::min(version, version_) > after;
}

bool TableRelay::CanAnswer(const TableQuestion& it) const {
  return known_ && (it.whole ? version_ >= it.after : it.after >= kept_from_);
}

bool TableRelay::HasNews(const TableQuestion& it) const {
  return std::any_of(rows_.begin(), rows_.end(),
                     [&](const auto& row) {
                       return IsNews(row.second.version, it.after);
                     }) ||
         std::any_of(removed_.begin(), removed_.end(), [&](const auto& row) {
           return IsNews(row.second, it.after);
         });
}

bool TableRelay::AnswersAtOnce(const Held& held) const {
  const TableQuestion& it = held.question;
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
  const TableQuestion& question = held.question;
  TableAnswer answer;
  if (!known_ || (question.whole && bytes_ > kMostBytes)) {
    answer.why = "the table is not held here";
    return answer;
  }
  if (question.whole && version_ < question.after) {
    answer.why = "an older table than the asker's";
    return answer;
  }
  if (!question.whole && question.after < kept_from_) {
    answer.kind = TableAnswer::Kind::kHistoryGone;
    return answer;
  }
  answer.kind = TableAnswer::Kind::kRows;
  answer.version = version_;
  if (version_ < question.after) {
    answer.known_after.reset();  // The asker knows more.
    return answer;
  }
  answer.known_after = known_at_ - held.arrived_at;
  for (const auto& [key, row] : rows_) {
    if (question.whole || IsNews(row.version, question.after)) {
      answer.rows.push_back(row);
    }
  }
  for (const auto& [key, version] : removed_) {
    if (!question.whole && IsNews(version, question.after)) {
      answer.rows.push_back({key, "", version, true});
    }
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

void TableRelay::OnQuestion(TimeUs now,
                            const NodeId& from,
                            const TableQuestion& it) {
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
