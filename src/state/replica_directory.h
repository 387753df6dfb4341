// The replicas that the platform's store lists, and which of them accept new
// work.
//
// Outages of the store: replicas' rows expire in the store while it is away,
// although the replicas run. If they were dropped when it returns, all requests
// would be refused. Therefore a directory entry whose row is removed during an
// outage, or shortly after it, stays in use until `kRelistTime` after the
// store's return. Running replicas have written their rows again by then; the
// other directory entries are removed. A row that marks its replica as leaving
// takes effect at once, also during an outage. An outage begins only when the
// store fails to answer a request of this host; at other times a removed row
// means that the replica left.
//
// Leaving: a replica states that it leaves in its row or in an answer
// (`OnLeavingStated`), and it never takes that back. An incarnation that has
// stated it gets no new work, whatever its row says later, and is remembered
// after its entry was removed: its last row may come back after an outage.
//
// Restarts: a replica may start again under the same name. Its new incarnation
// must get work even if the previous one was leaving, and requests must not
// wait for results, cached prompt parts or answers of the previous incarnation.
// Rows contain the start time of the incarnation that wrote them. A later start
// replaces the entry and reports `DirectoryChange::kRestarted`; a row with an
// earlier start is ignored, so that a row that is read late has no effect.
// State that is stored by `ReplicaId` belongs to one incarnation.
//
// Scale: there are thousands of replicas, each of which writes its row every
// second, and all rows are read at the start. The indexes are updated
// incrementally, so that the cost of a row does not grow with the number of
// replicas.
#ifndef ACACIACHUTE_SRC_STATE_REPLICA_DIRECTORY_H_
#define ACACIACHUTE_SRC_STATE_REPLICA_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/container/node_hash_map.h"
#include "types.h"

namespace acaciachute {

// Identifies one incarnation of a replica, from its start to its end.
struct ReplicaId {
  ReplicaId() = default;
  // Implicit: a name alone identifies an incarnation with unknown start.
  ReplicaId(std::string name_in, Incarnation incarnation_in = 0)
      : name(std::move(name_in)), incarnation(incarnation_in) {}
  ReplicaId(const char* name_in) : name(name_in) {}

  std::string name;
  // The start of the incarnation in Unix milliseconds; zero: unknown.
  Incarnation incarnation = 0;

  auto operator<=>(const ReplicaId&) const = default;
  template <typename H>
  friend H AbslHashValue(H hash, const ReplicaId& id) {
    return H::combine(std::move(hash), id.name, id.incarnation);
  }
};

struct ReplicaEntry {
  ReplicaId id;
  std::string service;
  Address address;
  std::string domain;   // Failure domain.
  std::string version;  // Of its software.
  std::uint32_t slots = 1;
  bool leaving = false;
  // End of the cold start according to the rows; the latest value is kept.
  TimeUs cold_until = 0;
  // When the last evacuation of its failure domain ended; zero: none has.
  TimeUs evacuation_ended_at = 0;
  // Number of calls that this incarnation has accepted, as the row states it;
  // it never decreases.
  std::uint64_t orders = 0;
  // Another entry of this address is of a replica that started later, so this
  // one has most likely ended. Set by `ReplicaDirectory`.
  bool superseded = false;
};

// Changes of an entry, for logs and for components that keep state by replica.
enum class DirectoryChange {
  kAdded,
  kLeaving,
  kRemoved,       // Its entry was removed.
  kRestarted,     // A later incarnation replaced this one.
  kKeptInOutage,  // Its row was removed, but the replica may still run.
  kUnreadable,    // Its row cannot be parsed; no new work until it can.
  kReadable,
  kOlderIncarnation,  // A row of an ended incarnation was ignored.
  // `ReplicaEntry::orders` decreased within an incarnation, so another writer
  // must have written the row.
  kCountFell,
  kSuperseded,  // Another replica was listed with its address.
};
inline constexpr std::array<std::string_view, 10> kDirectoryChangeNames = {
    "added",      "leaving",  "gone",       "restarted",  "kept_in_outage",
    "unreadable", "readable", "older_life", "count_fell", "superseded"};
constexpr std::string_view Name(DirectoryChange v) {
  return detail::NameIn(kDirectoryChangeNames, v);
}

// What became of a statement in an answer that a replica leaves.
enum class LeavingOutcome {
  kLearned,
  kKnown,  // Known already, or that incarnation has ended.
  // The incarnation is not listed. If it is listed again, it is leaving.
  kNotListed,
};
inline constexpr std::array<std::string_view, 3> kLeavingOutcomeNames = {
    "learned", "known", "not_listed"};
constexpr std::string_view Name(LeavingOutcome v) {
  return detail::NameIn(kLeavingOutcomeNames, v);
}

// Receives the changes of a directory's entries.
class DirectoryWatcher {
 public:
  virtual ~DirectoryWatcher() = default;
  virtual void OnReplica(const ReplicaEntry& replica,
                         DirectoryChange change) = 0;
};

class ReplicaDirectory {
 public:
  // Time that running replicas take to write their rows again after an outage
  // of the store. The platform states about two seconds.
  static constexpr DurationUs kRelistTime = 2 * kSecond;

  // Ended incarnations, and unlisted ones that stated that they leave, are
  // remembered for this time, so that a row which is read late does not add one
  // again. Much longer than the store's history.
  static constexpr DurationUs kEndedRetention = 120 * kSecond;

  explicit ReplicaDirectory(DirectoryWatcher* watcher) : watcher_(watcher) {}

  void Put(const ReplicaEntry& entry);
  // The row of that name cannot be parsed; another writer may have written it.
  // The replica gets no new work. Requests in progress there continue, because
  // the row does not show that the replica ended.
  void PutUnreadable(const std::string& name);
  void Remove(TimeUs now, const std::string& name);
  // An answer of this incarnation states that it leaves.
  LeavingOutcome OnLeavingStated(TimeUs now, const ReplicaId& id);
  // Replaces the complete list: rows that are neither in `entries` nor in
  // `unreadable` were removed.
  void Replace(TimeUs now,
               const std::vector<ReplicaEntry>& entries,
               const std::vector<std::string>& unreadable);
  // The store did not answer a request that was sent at `asked_at`.
  void OnStoreLost(TimeUs asked_at);
  // The store answers again after an outage.
  void OnStoreRecovered(TimeUs now);
  // Limits how long entries are kept after their rows were removed, counted
  // from the last request that the store did not answer.
  void SetMaxRetention(DurationUs max_retention) {
    max_retention_ = max_retention;
  }
  // The directory reflects the store's list as of `known_at`.
  void OnCurrent(TimeUs known_at);
  // Removes entries whose retention has ended; call it every 10 ms.
  void OnTick(TimeUs now);

  // Stops new work for replicas in the failure domain, also for those listed
  // later, until `EndEvacuation`.
  void Evacuate(const std::string& domain);
  void EndEvacuation(TimeUs now, const std::string& domain);
  bool IsEvacuated(const std::string& domain) const {
    return evacuated_.contains(domain);
  }
  // Returns the number of entries in the failure domain.
  std::size_t CountIn(std::string_view domain) const;

  // Returns the entries of the service that accept new work.
  const std::vector<const ReplicaEntry*>& Of(std::string_view service) const;
  // Returns null when that incarnation is not listed.
  const ReplicaEntry* Find(const ReplicaId& id) const;
  // Returns the replica that produced a result, by the result's handle, which
  // begins with the replica's address and a slash. Null when no replica with
  // that address is listed.
  const ReplicaEntry* ProducerOf(std::string_view handle) const;
  // A listed replica at the address, or null.
  const ReplicaEntry* FindAt(const Address& address) const;
  bool TakesWork(const ReplicaId& id) const;
  std::size_t size() const { return entries_.size(); }
  // Returns the age of the list; negative: the list has not been read yet.
  DurationUs Age(TimeUs now) const {
    return known_at_ < 0 ? known_at_ : now - known_at_;
  }

 private:
  struct Row {
    ReplicaEntry entry;
    std::string address;  // Prefix of the handles of its results.
    bool unreadable = false;
    std::uint64_t added = 0;   // Order in which incarnations were listed.
    bool eligible = false;     // Whether it is in `ServiceRows::eligible`.
    std::size_t position = 0;  // Index there, if it is.
  };
  struct ServiceRows {
    // Entries that accept new work, and their rows in the same order.
    std::vector<const ReplicaEntry*> eligible;
    std::vector<Row*> rows;
    // Number of the service's rows that state their incarnation, and the rows
    // that do not.
    std::size_t rows_with_incarnation = 0;
    absl::flat_hash_set<Row*> without_incarnation;
  };
  struct EndedIncarnation {
    Incarnation incarnation = 0;
    // Final: an older row does not revert it.
    bool announced_leaving = false;
    TimeUs removed_at = 0;  // When the incarnation's entry was removed.
  };
  using Rows = absl::node_hash_map<std::string, Row>;

  // Compares a row with the last ended incarnation of its name. Returns true if
  // `entry` is of an earlier incarnation. Marks `entry` as leaving if it is of
  // that ended incarnation, or of the same unknown one, and that incarnation
  // had announced that it leaves.
  bool ApplyEnded(ReplicaEntry* entry) const;
  // Inserts or replaces the entry of that name.
  void Insert(const ReplicaEntry& entry);
  void NotifyAdded(const ReplicaEntry& entry);
  void Update(Row* row, const ReplicaEntry& entry);
  LeavingOutcome MarkLeaving(Row* row);
  void Restart(const ReplicaEntry& known, const ReplicaEntry& entry);
  void Erase(TimeUs now, Rows::iterator it);
  // A row's service, address and incarnation may change only while the row is
  // not in the indexes.
  void AddToIndexes(Row* row);
  void RemoveFromIndexes(Row* row);
  // Sets `superseded` of the rows of one address.
  static void MarkSuperseded(const std::vector<Row*>& rows);
  // Adds the row to its service's eligible entries, or removes it from them,
  // according to `IsEligible`.
  void UpdateEligible(Row* row);
  void RemoveFromEligible(Row* row);
  // Whether the replica accepts new work. An entry without an incarnation, in a
  // service with entries that have one, must be from another writer and is not
  // eligible.
  bool IsEligible(const Row& row) const;
  // Returns null when that incarnation is not listed.
  const Row* RowOf(const ReplicaId& id) const;

  DirectoryWatcher* const watcher_;
  Rows entries_;
  absl::flat_hash_set<std::string> evacuated_;  // Failure domains.
  // Names of entries that are kept although their rows were removed.
  absl::flat_hash_set<std::string> retained_;
  std::map<std::string, EndedIncarnation> ended_;  // By name, the last to end.
  TimeUs next_ended_cleanup_at_ = 0;
  std::uint64_t added_ = 0;  // Incarnations listed so far.
  absl::node_hash_map<std::string, ServiceRows> services_;
  // Usually one row per address; see `ProducerOf`.
  absl::flat_hash_map<std::string, std::vector<Row*>> by_address_;
  TimeUs known_at_ = -1;
  bool store_lost_ = false;
  // When the last request was sent that the store did not answer.
  TimeUs store_lost_at_ = 0;
  DurationUs max_retention_ = kRelistTime;
  // After an outage: entries whose rows were removed are kept until then.
  TimeUs retain_until_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_REPLICA_DIRECTORY_H_
