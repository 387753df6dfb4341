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
  if (!in_progress_ && now >= next_request_at_) {
    SendRequest(now);
  }
}

void TableWatch::SendRequest(TimeUs now) {
  in_progress_ = true;
  sent_at_ = now;
  if (!reading_complete_table_) {
    // After a failure the copy is old, so the answer must not wait for changes.
    // With the usual hold time it came two seconds late, and meanwhile requests
    // were refused because their keys could not be checked.
    reader_->ReadChanges(now, table_, version_,
                         failures_ > 0 ? 0 : plan_->store_hold_time);
    return;
  }
  // The first key after the last one read: a zero byte is the smallest suffix.
  reader_->ReadRows(now, table_,
                    pages_.empty() ? std::string() : pages_.back().key + '\0');
}

void TableWatch::ScheduleNext(TimeUs now, bool had_changes) {
  if (had_changes) {
    next_request_at_ = now + plan_->settle_delay;
  } else {
    SendRequest(now);
  }
}

void TableWatch::OnAnswer(TimeUs now, const TableAnswer& answer) {
  in_progress_ = false;
  switch (answer.kind) {
    case TableAnswer::Kind::kFailed:
    case TableAnswer::Kind::kStoreLost:
      OnFailure(now, answer);
      return;
    case TableAnswer::Kind::kHistoryGone:
      log_->Write("table_history_gone",
                  {{"table", table_}, {"version", version_}});
      reading_complete_table_ = true;
      pages_.clear();
      SendRequest(now);
      return;
    case TableAnswer::Kind::kRows:
      break;
  }
  if (answer.version < version_) {
    OnOlderVersion(now, answer.version);
    return;
  }
  if (failures_ > 0 && answer.known_after) {
    const TimeUs known_at = sent_at_ + *answer.known_after;
    log_->Write("table_back", {{"table", table_},
                               {"failures", failures_},
                               {"version", answer.version},
                               {"known_ms", (now - known_at) / kMillisecond}});
    failures_ = 0;
  }
  if (reading_complete_table_) {
    OnRows(now, answer);
  } else {
    OnChanges(now, answer);
  }
}

void TableWatch::NotifyCurrent(TimeUs sent_at, const TableAnswer& answer) {
  if (answer.known_after) {
    known_at_ = std::max(known_at_, sent_at + *answer.known_after);
    listener_->OnTableCurrent(table_, known_at_);
  }
}

void TableWatch::OnRows(TimeUs now, const TableAnswer& answer) {
  if (pages_.empty()) {
    first_page_known_at_ = sent_at_ + answer.known_after.value_or(0);
  }
  page_version_ =
      pages_.empty() ? answer.version : std::min(page_version_, answer.version);
  pages_.insert(pages_.end(), answer.rows.begin(), answer.rows.end());
  if (answer.truncated && !answer.rows.empty()) {
    SendRequest(now);
    return;
  }
  version_ = page_version_;
  reading_complete_table_ = false;
  known_ = true;
  const std::vector<TableRow> rows = std::exchange(pages_, {});
  listener_->OnTable(table_, rows);
  known_at_ = std::max(known_at_, first_page_known_at_);
  listener_->OnTableCurrent(table_, first_page_known_at_);
  ScheduleNext(now, !rows.empty());
}

void TableWatch::OnChanges(TimeUs now, const TableAnswer& answer) {
  version_ = std::max(version_, answer.version);
  const TimeUs sent_at = sent_at_;
  for (const TableRow& it : answer.rows) {
    listener_->OnRow(table_, it);
  }
  NotifyCurrent(sent_at, answer);
  ScheduleNext(now, !answer.rows.empty());
}

void TableWatch::OnFailure(TimeUs now, const TableAnswer& answer) {
  if (failures_++ == 0) {
    log_->Write(
        "table_lost",
        {{"table", table_},
         {"why", answer.why},
         {"version", version_},
         {"age_ms", (now - sent_at_) / kMillisecond},
         {"known_ms", known_at_ < 0 ? -1 : (now - known_at_) / kMillisecond}});
  }
  pages_.clear();
  listener_->OnTableLost(table_);
  DurationUs delay = kInitialRetryDelay;
  // The relay has held this request until now and will hold the next one.
  const bool relay_held_request = answer.kind == TableAnswer::Kind::kStoreLost;
  for (int n = 1;
       !relay_held_request && n < failures_ && delay < plan_->max_retry_delay;
       ++n) {
    delay *= 2;
  }
  RetryAfter(now, std::min(delay, plan_->max_retry_delay));
}

// An answer with an older version does not show whether the store can be
// reached.
void TableWatch::OnOlderVersion(TimeUs now, std::uint64_t version) {
  log_->Write(
      "table_older",
      {{"table", table_}, {"answered", version}, {"version", version_}});
  pages_.clear();
  RetryAfter(now, std::min(kInitialRetryDelay, plan_->max_retry_delay));
}

// Half of the delay is random, so that hosts that lost the store together do
// not return together.
void TableWatch::RetryAfter(TimeUs now, DurationUs delay) {
  next_request_at_ = now + delay / 2 +
                     static_cast<DurationUs>(
                         random_->Below(static_cast<std::uint64_t>(delay / 2)));
}

}  // namespace acaciachute
