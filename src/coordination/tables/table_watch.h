// Follows one table of the platform's store: reads the complete table first and
// then its changes, and keeps the time up to which the copy is current.
//
// Answers may be lost, late or stale, the store may drop its history, the
// connection may stall, or the store may refuse this host. A host would then
// use a configuration that was replaced, or lose replicas that are alive. So
// each call has a time limit; answers older than the copy are ignored; and
// after a gap in the history the complete table is read again. The age of the
// copy counts from when the request was sent, because its answer may have been
// delayed anywhere.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_WATCH_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_WATCH_H_

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/tables/freshness_plan.h"
#include "state/event_log.h"
#include "state/random.h"
#include "state/table_rows.h"
#include "types.h"

namespace acaciachute {

class TableReader {
 public:
  virtual ~TableReader() = default;
  // Exactly one answer to each call follows through `TableWatch::OnAnswer`,
  // also after a time-out. Rows may still arrive after a failure.
  virtual void ReadRows(TimeUs now,
                        const std::string& table,
                        const std::string& from) = 0;
  virtual void ReadChanges(TimeUs now,
                           const std::string& table,
                           std::uint64_t after,
                           DurationUs wait) = 0;
};

class TableListener {
 public:
  virtual ~TableListener() = default;
  virtual void OnTable(const std::string& table,
                       const std::vector<TableRow>& rows) = 0;
  virtual void OnRow(const std::string& table, const TableRow& row) = 0;
  // All changes that the store held at `known_at` were delivered.
  virtual void OnTableCurrent(const std::string& table, TimeUs known_at) = 0;
  virtual void OnTableLost(const std::string& table) = 0;
};

class TableWatch {
 public:
  // Delay after a failed call. It doubles up to
  // `FreshnessPlan::max_retry_delay` while the store does not answer, so its
  // return is noticed soon without overloading it.
  static constexpr DurationUs kInitialRetryDelay = 60 * kMillisecond;

  TableWatch(std::string table,
             const FreshnessPlan* plan,
             TableReader* reader,
             TableListener* listener,
             Random* random,
             EventLog* log);

  void OnAnswer(TimeUs now, const TableAnswer& answer);
  // Sends the next request when it is due. Call it every 10 ms.
  void OnTick(TimeUs now);

  const std::string& table() const { return table_; }
  bool known() const { return known_; }
  bool lost() const { return failures_ > 0; }
  // Version of the store up to which the rows are known.
  std::uint64_t version() const { return version_; }

 private:
  void SendRequest(TimeUs now);
  void ScheduleNext(TimeUs now, bool had_changes);
  void OnRows(TimeUs now, const TableAnswer& answer);
  void OnChanges(TimeUs now, const TableAnswer& answer);
  void OnFailure(TimeUs now, const TableAnswer& answer);
  void OnOlderVersion(TimeUs now, std::uint64_t version);
  void RetryAfter(TimeUs now, DurationUs delay);
  void NotifyCurrent(TimeUs sent_at, const TableAnswer& answer);

  const std::string table_;
  const FreshnessPlan* const plan_;
  TableReader* const reader_;
  TableListener* const listener_;
  Random* const random_;
  EventLog* const log_;
  bool known_ = false;        // The complete table was read.
  bool in_progress_ = false;  // A read is in progress.
  // The current or next read is of the complete table.
  bool reading_complete_table_ = true;
  TimeUs sent_at_ = 0;
  // The copy is current up to this time; negative before the first read.
  TimeUs known_at_ = -1;
  // Time at which the first page of the current read was current.
  TimeUs first_page_known_at_ = 0;
  TimeUs next_request_at_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t page_version_ = 0;  // Lowest version of the pages.
  std::vector<TableRow> pages_;
  int failures_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_WATCH_H_
