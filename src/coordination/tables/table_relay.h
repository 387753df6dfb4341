// Answers other gateways' requests for a table of the store from what this one
// knows of it.
//
// Load pattern: a hundred gateways follow two tables of the store. Asking it
// themselves they make a call each for every row that changes, and all read the
// whole table when the store drops its history. A few that follow the store and
// pass on what changed make that a few; `TableSource` says who asks whom.
//
// An answer never says that something is newer than it is: it carries the time
// between the request's arrival and the moment at which this gateway's own
// request to the store was sent, by this gateway's clock, so the asker counts
// from its own request. Passing on through several gateways only makes it
// older.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_RELAY_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_RELAY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

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
  // A request without news is answered after this, so that its asker knows
  // within a second that this gateway lives.
  static constexpr DurationUs kMostHeld = 600 * kMillisecond;
  // An asker whose knowledge is older than this one's by more is told at once.
  static constexpr DurationUs kWorthTelling = 300 * kMillisecond;
  // Rows that were removed; several times what an hour of replacements removes.
  static constexpr std::size_t kRemovedKept = 4096;
  // A whole table above this does not fit into one message.
  static constexpr std::size_t kMostBytes = 3 << 20;

  TableRelay(std::string table, TableRelayOutput* output);

  // What this gateway learns of the table.
  void OnTable(const std::vector<TableRow>& rows, std::uint64_t version);
  void OnRow(const TableRow& row);
  void OnCurrent(TimeUs known_at, std::uint64_t version);
  void OnLost();

  void OnTableRequest(TimeUs now, const NodeId& from, const TableRequest& it);
  void OnPeerLost(const NodeId& peer);
  // Answers what was held long enough; call it every 10 ms.
  void OnTick(TimeUs now);

 private:
  struct Held {
    NodeId from;
    TableRequest request;
    TimeUs arrived_at = 0;
    TimeUs until = 0;
  };

  bool HasNews(const TableRequest& it) const;
  // Whether enough is known, be there news or not.
  bool CanAnswer(const TableRequest& it) const;
  bool AnswersAtOnce(const Held& held) const;
  void Reply(const Held& held, TableAnswer answer);
  // All that is newer than the request asks for.
  TableAnswer News(const Held& held) const;
  // That there was no news, or that the store is lost here.
  TableAnswer WhenHeldLong(const Held& held) const;
  void ReplyAll(TableAnswer (TableRelay::*answer)(const Held&) const);

  const std::string table_;
  TableRelayOutput* const output_;
  bool known_ = false;
  bool lost_ = false;
  TimeUs known_at_ = 0;  // The rows are what the store held then.
  std::uint64_t version_ = 0;
  std::uint64_t kept_from_ = 0;  // Removals above this version are known.
  std::map<std::string, TableRow> rows_;
  std::map<std::string, std::uint64_t> removed_;  // With their versions.
  // The same, by version, so that news costs what changed. A row that came
  // while pages of the table were read may be above `version_`, from which its
  // reader goes on; it is told again then.
  using Changes = std::set<std::pair<std::uint64_t, std::string>>;
  Changes changed_;
  Changes gone_;
  std::size_t bytes_ = 0;
  std::vector<Held> held_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_RELAY_H_
