// The replicas that the platform lists, and which of them take new work.
//
// Failure: the store that lists replicas is away for some seconds, and their
// entries lapse in it although they run. Symptom: on the store's return every
// replica is gone at once and all requests are refused. An entry that vanishes
// during an outage or just after it stays in use until `kBackWithin` after the
// return; a replica that lives has written its entry again by then, and one
// that has not is gone. An entry that says that its replica leaves is believed
// at once, in an outage too. Only a request that the store did not answer this
// host is an outage: otherwise an entry that vanishes is one of a replica that
// left.
//
// Failure: a replica starts again under its name. Symptom: it never gets work
// again because its previous incarnation had left, or requests wait for
// results, prompt parts and answers that the new incarnation does not have.
// Entries tell the start of each incarnation. A later start ends what is
// believed of the incarnation before, in `DirectoryChange::kRestarted`; an
// earlier one is passed over, so that a row that is read late changes nothing.
// All that is kept by `ReplicaId` is kept for one incarnation.
//
// Load pattern: thousands of replicas, each of which writes its row every
// second, and thousands of rows at a start. A row costs what it changes itself:
// the indexes are kept as rows come and go.
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

// One incarnation of a replica, from its start to its end.
struct ReplicaId {
  ReplicaId() = default;
  // Implicit, because a name alone stands for a life whose start is not told.
  ReplicaId(std::string name_in, Incarnation incarnation_in = 0)
      : name(std::move(name_in)), incarnation(incarnation_in) {}
  ReplicaId(const char* name_in) : name(name_in) {}

  std::string name;
  Incarnation incarnation =
      0;  // Its start, in Unix milliseconds; zero: not told.

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
  std::string domain;  // Failure domain.
  std::uint32_t slots = 1;
  bool leaving = false;
  TimeUs cold_until = 0;  // By what its rows said; they only put it off.
  TimeUs evacuation_ended_at =
      0;                     // Its failure domain was taken back; zero: never.
  std::uint64_t orders = 0;  // Accepted by it in this life; never falls.
};

// What became of an entry, for logs and for those who keep state by replica.
enum class DirectoryChange {
  kAdded,
  kLeaving,
  kGone,
  kRestarted,     // This incarnation ended: another one began under its name.
  kKeptInOutage,  // Its entry vanished; it may live.
  kUnreadable,    // Its entry names no replica until it can be read again.
  kReadable,
  kOlderIncarnation,  // A row of a life that had ended; passed over.
  kCountFell,  // Its orders fell within one life: not the replica's own row.
};
inline constexpr std::array<std::string_view, 9> kDirectoryChangeNames = {
    "added",      "leaving",  "gone",       "restarted", "kept_in_outage",
    "unreadable", "readable", "older_life", "count_fell"};
constexpr std::string_view Name(DirectoryChange v) {
  return detail::NameIn(kDirectoryChangeNames, v);
}

class DirectoryWatcher {
 public:
  virtual ~DirectoryWatcher() = default;
  virtual void OnReplica(const ReplicaEntry& replica,
                         DirectoryChange change) = 0;
};

class ReplicaDirectory {
 public:
  // The platform's word: living replicas are listed again about two seconds
  // after the store is back.
  static constexpr DurationUs kBackWithin = 2 * kSecond;

  // Lives that ended are remembered this long, so that a late row of one does
  // not bring it back. Far above the history that the store keeps.
  static constexpr DurationUs kRememberEnded = 120 * kSecond;

  explicit ReplicaDirectory(DirectoryWatcher* watcher) : watcher_(watcher) {}

  void Put(const ReplicaEntry& entry);
  // The row of that name cannot be read: another writer may have written it.
  // It names no replica to send work to; requests in progress there go on,
  // because nothing says that the replica ended.
  void PutUnreadable(const std::string& name);
  void Remove(TimeUs now, const std::string& name);
  // The whole list: what is neither in it nor among the unreadable names was
  // removed.
  void Replace(TimeUs now,
               const std::vector<ReplicaEntry>& entries,
               const std::vector<std::string>& unreadable);
  // The store did not answer what it was asked at `asked_at`, or it answers
  // again.
  void OnStoreLost(TimeUs asked_at);
  void OnStoreBack(TimeUs now);
  // See `kBackWithin`; the time counts from when the store was last asked in
  // vain.
  void SetMostKept(DurationUs max_kept) { most_kept_ = max_kept; }
  // Every row up to what the store held at `known_at` was given.
  void OnCurrent(TimeUs known_at);
  // Lets go of entries that were kept for the outage; call it every 10 ms.
  void OnTick(TimeUs now);

  // No new work goes to replicas in the failure domain, those listed later
  // included, until the evacuation ends.
  void Evacuate(const std::string& domain);
  void EndEvacuation(TimeUs now, const std::string& domain);
  bool IsEvacuated(const std::string& domain) const {
    return evacuated_.contains(domain);
  }
  // Entries in the failure domain.
  std::size_t CountIn(std::string_view domain) const;

  // Entries that take new work.
  const std::vector<const ReplicaEntry*>& Of(std::string_view service) const;
  // Null when it is gone.
  const ReplicaEntry* Find(const ReplicaId& id) const;
  // The replica that made a result, whose handle begins with the replica's
  // address and a slash; null when none is listed there.
  const ReplicaEntry* ProducerOf(std::string_view handle) const;
  bool TakesWork(const ReplicaId& id) const;
  std::size_t size() const { return entries_.size(); }
  // How old the list is; negative: nothing was told yet.
  DurationUs Age(TimeUs now) const {
    return known_at_ < 0 ? known_at_ : now - known_at_;
  }

 private:
  struct Row {
    ReplicaEntry entry;
    std::string address;  // As handles of its results begin.
    bool unreadable = false;
    std::uint64_t added = 0;   // Rises with each incarnation that is listed.
    bool taking = false;       // Whether its service's list has it,
    std::size_t position = 0;  // and where.
  };
  struct ServiceRows {
    std::vector<const ReplicaEntry*> taking;  // Entries that take new work.
    std::vector<Row*> rows;                   // The same, in the same order.
    std::size_t incarnations_told = 0;  // Of all its rows, those that tell it.
    absl::flat_hash_set<Row*> untold;
  };
  struct Ended {
    Incarnation incarnation = 0;
    bool left = false;  // Said that it leaves, which is for good.
    TimeUs at = 0;
  };
  using Rows = absl::node_hash_map<std::string, Row>;

  // Whether the row is of an incarnation that is over; what is known may say
  // that an incarnation that is listed again was leaving.
  bool PassedOver(ReplicaEntry* entry) const;
  void List(const ReplicaEntry& entry);
  void TellAdded(const ReplicaEntry& entry);
  void Update(Row* row, const ReplicaEntry& entry);
  void Restart(const ReplicaEntry& known, const ReplicaEntry& entry);
  void Erase(TimeUs now, Rows::iterator it);
  // Between the two a row's service, address and incarnation may change.
  void AddToIndexes(Row* row);
  void RemoveFromIndexes(Row* row);
  // Adds it to those that take work, or removes it, as it is now.
  void Place(Row* row);
  void Unplace(Row* row);
  // Whether new work may go there. An entry that tells no start, among others
  // of its service that do, is another writer's.
  bool Takes(const Row& row) const;
  // Null when that incarnation is not listed.
  const Row* RowOf(const ReplicaId& id) const;

  DirectoryWatcher* const watcher_;
  Rows entries_;
  absl::flat_hash_set<std::string> evacuated_;  // Failure domains.
  absl::flat_hash_set<std::string> missing_;    // Names kept for an outage.
  std::map<std::string, Ended> ended_;
  TimeUs forget_ended_at_ = 0;
  std::uint64_t added_ = 0;
  absl::node_hash_map<std::string, ServiceRows> services_;
  // Usually one row an address; see `ProducerOf`.
  absl::flat_hash_map<std::string, std::vector<Row*>> by_address_;
  TimeUs known_at_ = -1;
  bool store_lost_ = false;
  TimeUs store_lost_at_ = 0;  // Asked in vain then.
  DurationUs most_kept_ = kBackWithin;
  TimeUs keep_until_ = 0;  // Vanished entries, after an outage.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_REPLICA_DIRECTORY_H_
