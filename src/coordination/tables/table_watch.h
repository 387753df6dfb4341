// Follows one table of the platform's store: the whole of it first, then its
// changes, with the moment up to which it is known to be current.
//
// Failure: answers are lost, late or stale, the history is dropped, the
// connection falls silent, or the store turns this host away. Symptom: a host
// goes on under a configuration that was replaced, or loses replicas that live.
// Each call has a time limit; what is older than what is known is passed over;
// after a gap the whole table is read again. Being current counts from when the
// request was sent: its answer may have waited anywhere.
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
  // One answer follows each, through `TableWatch::OnAnswer`, also on a timeout.
  // The rows may still follow a failure.
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
  // Everything up to what the store held at `known_at` is known.
  virtual void OnTableCurrent(const std::string& table, TimeUs known_at) = 0;
  virtual void OnTableLost(const std::string& table) = 0;
};

class TableWatch {
 public:
  // After a failed call; grows to `FreshnessPlan::most_pause` while the store
  // is away, so that its return is noticed soon without pressing on it.
  static constexpr DurationUs kRetry = 60 * kMillisecond;

  TableWatch(std::string table,
             const FreshnessPlan* plan,
             TableReader* reader,
             TableListener* listener,
             Random* random,
             EventLog* log);

  void OnAnswer(TimeUs now, const TableAnswer& answer);
  // Sends what is due; call it every 10 ms.
  void OnTick(TimeUs now);

  const std::string& table() const { return table_; }
  bool known() const { return known_; }
  bool lost() const { return failures_ > 0; }
  // Of the store, up to which the rows are known.
  std::uint64_t version() const { return version_; }

 private:
  void Ask(TimeUs now);
  void AskSoon(TimeUs now, bool news);
  void OnRows(TimeUs now, const TableAnswer& answer);
  void OnChanges(TimeUs now, const TableAnswer& answer);
  void OnFailure(TimeUs now, const TableAnswer& answer);
  void OnOlder(TimeUs now, std::uint64_t version);
  void AskAfter(TimeUs now, DurationUs pause);
  void TellCurrent(TimeUs asked_at, const TableAnswer& answer);

  const std::string table_;
  const FreshnessPlan* const plan_;
  TableReader* const reader_;
  TableListener* const listener_;
  Random* const random_;
  EventLog* const log_;
  bool known_ = false;    // The whole table was read.
  bool reading_ = false;  // A call is in progress.
  bool whole_ = true;     // It reads the whole table.
  TimeUs asked_at_ = 0;
  TimeUs known_at_ = -1;       // Up to which it is known; negative: not yet.
  TimeUs first_known_at_ = 0;  // Of the pages of one reading.
  TimeUs next_at_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t page_version_ = 0;  // The lowest of the pages.
  std::vector<TableRow> pages_;
  int failures_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_WATCH_H_
