#include "coordination/tables/table_watch.h"

#include <algorithm>
#include <utility>

namespace acaciachute {

TableWatch::TableWatch(std::string table,
                       const FreshnessPlan* plan,
                       TableReader* reader,
                       TableListener* listener,
                       Random* random,
                       EventLog* log)
    : table_(std::move(table)),
      plan_(plan),
      reader_(reader),
      listener_(listener),
      random_(random),
      log_(log) {}

void TableWatch::OnTick(TimeUs now) {
  if (!reading_ && now >= next_at_) {
    Ask(now);
  }
}

void TableWatch::Ask(TimeUs now) {
  reading_ = true;
  asked_at_ = now;
  if (!whole_) {
    // After a failure what is known is old: the answer must not wait for news.
    // Held for its usual time, it came two seconds late, and requests whose
    // keys could not be checked were refused meanwhile.
    reader_->ReadChanges(now, table_, version_,
                         failures_ > 0 ? 0 : plan_->store_wait);
    return;
  }
  // The first key after the last that was read: a zero byte is the least
  // suffix.
  reader_->ReadRows(now, table_,
                    pages_.empty() ? std::string() : pages_.back().key + '\0');
}

void TableWatch::AskSoon(TimeUs now, bool news) {
  if (news) {
    next_at_ = now + plan_->settle;
  } else {
    Ask(now);
  }
}

void TableWatch::OnAnswer(TimeUs now, const TableAnswer& answer) {
  reading_ = false;
  switch (answer.kind) {
    case TableAnswer::Kind::kFailed:
    case TableAnswer::Kind::kStoreLost:
      OnFailure(now, answer);
      return;
    case TableAnswer::Kind::kHistoryGone:
      log_->Write("table_history_gone",
                  {{"table", table_}, {"version", version_}});
      whole_ = true;
      pages_.clear();
      Ask(now);
      return;
    case TableAnswer::Kind::kRows:
      break;
  }
  if (answer.version < version_) {
    OnOlder(now, answer.version);
    return;
  }
  if (failures_ > 0 && answer.known_after) {
    const TimeUs known_at = asked_at_ + *answer.known_after;
    log_->Write("table_back", {{"table", table_},
                               {"failures", failures_},
                               {"version", answer.version},
                               {"known_ms", (now - known_at) / kMillisecond}});
    failures_ = 0;
  }
  if (whole_) {
    OnRows(now, answer);
  } else {
    OnChanges(now, answer);
  }
}

void TableWatch::TellCurrent(TimeUs asked_at, const TableAnswer& answer) {
  if (answer.known_after) {
    known_at_ = std::max(known_at_, asked_at + *answer.known_after);
    listener_->OnTableCurrent(table_, known_at_);
  }
}

void TableWatch::OnRows(TimeUs now, const TableAnswer& answer) {
  if (pages_.empty()) {
    first_known_at_ = asked_at_ + answer.known_after.value_or(0);
  }
  page_version_ =
      pages_.empty() ? answer.version : std::min(page_version_, answer.version);
  pages_.insert(pages_.end(), answer.rows.begin(), answer.rows.end());
  if (answer.truncated && !answer.rows.empty()) {
    Ask(now);
    return;
  }
  version_ = page_version_;
  whole_ = false;
  known_ = true;
  const std::vector<TableRow> rows = std::exchange(pages_, {});
  listener_->OnTable(table_, rows);
  known_at_ = std::max(known_at_, first_known_at_);
  listener_->OnTableCurrent(table_, first_known_at_);
  AskSoon(now, !rows.empty());
}

void TableWatch::OnChanges(TimeUs now, const TableAnswer& answer) {
  version_ = std::max(version_, answer.version);
  const TimeUs asked_at = asked_at_;
  for (const TableRow& it : answer.rows) {
    listener_->OnRow(table_, it);
  }
  TellCurrent(asked_at, answer);
  AskSoon(now, !answer.rows.empty());
}

void TableWatch::OnFailure(TimeUs now, const TableAnswer& answer) {
  if (failures_++ == 0) {
    log_->Write(
        "table_lost",
        {{"table", table_},
         {"why", answer.why},
         {"version", version_},
         {"age_ms", (now - asked_at_) / kMillisecond},
         {"known_ms", known_at_ < 0 ? -1 : (now - known_at_) / kMillisecond}});
  }
  pages_.clear();
  listener_->OnTableLost(table_);
  DurationUs pause = kRetry;
  // Another gateway held the request until now, and will hold the next one.
  const bool paced = answer.kind == TableAnswer::Kind::kStoreLost;
  for (int n = 1; !paced && n < failures_ && pause < plan_->most_pause; ++n) {
    pause *= 2;
  }
  AskAfter(now, std::min(pause, plan_->most_pause));
}

// It says nothing of whether the store can be reached.
void TableWatch::OnOlder(TimeUs now, std::uint64_t version) {
  log_->Write(
      "table_older",
      {{"table", table_}, {"answered", version}, {"version", version_}});
  pages_.clear();
  AskAfter(now, std::min(kRetry, plan_->most_pause));
}

// Half of it at random: hosts that lost the store together return apart.
void TableWatch::AskAfter(TimeUs now, DurationUs pause) {
  next_at_ = now + pause / 2 +
             static_cast<DurationUs>(
                 random_->Below(static_cast<std::uint64_t>(pause / 2)));
}

}  // namespace acaciachute
