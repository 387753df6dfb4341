// Answers other gateways' requests for a table of the store from this gateway's
// copy.
//
// A hundred gateways follow two tables of the store. If all asked the store
// themselves, they would make one call each for every row that changes, and all
// would read the complete table when the store drops its history. A few
// gateways that follow the store and relay the changes reduce that to a few
// calls; `TableSource` determines which gateway asks which.
//
// An answer never claims that data are newer than they are: it carries the time
// between the arrival of the request and the moment at which this gateway sent
// its own request to the store, by this gateway's clock, and the requester
// counts from its own request. Relaying through several gateways only makes the
// stated age larger.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_RELAY_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_RELAY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/tables/split_row.h"
#include "messages.h"
#include "state/table_rows.h"
#include "types.h"

namespace acaciachute {

class TableRelayOutput {
 public:
  virtual ~TableRelayOutput() = default;
  virtual void SendToPeer(const NodeId& peer, const Message& message) = 0;
};

class TableRelay {
 public:
  // How long a request is held while there are no changes, so that the
  // requester knows within a second that this gateway is alive.
  static constexpr DurationUs kMaxHoldTime = 600 * kMillisecond;
  // A requester whose data are older than this gateway's by more than this is
  // answered at once.
  static constexpr DurationUs kMinAgeGain = 300 * kMillisecond;
  // Number of removed rows that are remembered; several times as many as an
  // hour of replacements removes.
  static constexpr std::size_t kMaxRemovedRows = 4096;
  // Size of a table above which it does not fit into one message.
  static constexpr std::size_t kMaxTableBytes = 3 << 20;

  // `split_row` holds the table's split row; null if it has none.
  TableRelay(std::string table,
             TableRelayOutput* output,
             const SplitRow* split_row = nullptr);

  // Updates of this gateway's copy of the table, without its split row.
  void OnTable(const std::vector<TableRow>& rows, std::uint64_t version);
  void OnRow(const TableRow& row);
  void OnCurrent(TimeUs known_at, std::uint64_t version);
  void OnLost();

  void OnTableRequest(TimeUs now,
                      const NodeId& from,
                      const TableRequest& request);
  void OnPeerLost(const NodeId& peer);
  // Answers the requests that were held for `kMaxHoldTime`. Call it every 10
  // ms.
  void OnTick(TimeUs now);

 private:
  struct HeldRequest {
    NodeId from;
    TableRequest request;
    TimeUs arrived_at = 0;
    TimeUs answer_by = 0;
  };

  bool HasChanges(const TableRequest& request) const;
  bool HasNewerSplitRow(const TableRequest& request) const;
  // Whether this gateway's copy suffices for an answer, with or without
  // changes.
  bool CanAnswer(const TableRequest& request) const;
  bool ShouldAnswerNow(const HeldRequest& held) const;
  void Reply(const HeldRequest& held, TableAnswer answer);
  // All that changed after the version in the request; the changes of the split
  // row in pages, of which the last one comes with all other rows.
  TableAnswer ChangesSince(const HeldRequest& held) const;
  TableAnswer RowsSince(const HeldRequest& held) const;
  // The answer after `kMaxHoldTime`: that there were no changes, or that this
  // gateway does not reach the store.
  TableAnswer HoldTimeoutAnswer(const HeldRequest& held) const;
  void ReplyAll(TableAnswer (TableRelay::*answer)(const HeldRequest&) const);

  const std::string table_;
  TableRelayOutput* const output_;
  const SplitRow* const split_row_;
  bool known_ = false;
  bool store_lost_ = false;
  TimeUs known_at_ = 0;  // The rows are what the store held at this time.
  std::uint64_t version_ = 0;
  std::uint64_t history_from_ = 0;  // Removals after this version are known.
  std::map<std::string, TableRow> rows_;
  // By key: the version of the removal.
  std::map<std::string, std::uint64_t> removed_;
  // The keys of `rows_` and `removed_` in order of version, so that the cost of
  // an update depends on what changed. A row that arrived while pages of the
  // table were read may have a version above `version_`, from which its reader
  // goes on; it is then sent a second time.
  using VersionIndex = std::set<std::pair<std::uint64_t, std::string>>;
  VersionIndex rows_by_version_;
  VersionIndex removals_by_version_;
  std::size_t table_bytes_ = 0;
  std::vector<HeldRequest> held_requests_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_RELAY_H_
