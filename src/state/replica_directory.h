// The replicas that the platform lists, and which of them take new work.
//
// Failure: the store that lists replicas is away for some seconds, and their
// entries lapse in it although they run. Symptom: on the store's return every
// replica is gone at once and all requests are refused. An entry that vanishes
// during an outage or just after it stays in use until `kBackWithin` after the
// return; a replica that lives has written its entry again by then, and one
// that has not is gone. An entry that says that its replica leaves is believed
// at once, in an outage too.
#ifndef ACACIACHUTE_SRC_STATE_REPLICA_DIRECTORY_H_
#define ACACIACHUTE_SRC_STATE_REPLICA_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace acaciachute {

// One life of a replica: a restart brings another id.
using ReplicaId = std::string;

struct ReplicaEntry {
  ReplicaId id;
  std::string service;
  Address address;
  std::string domain;  // Failure domain.
  std::uint32_t slots = 1;
  bool leaving = false;
  DurationUs cold = 0;  // How much longer it is slow after its start.
};

// What became of an entry, for logs and for those who keep state by replica.
enum class DirectoryChange { kAdded, kLeaving, kGone, kKeptInOutage };
inline constexpr std::array<std::string_view, 4> kDirectoryChangeNames = {
    "added", "leaving", "gone", "kept_in_outage"};
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

  explicit ReplicaDirectory(DirectoryWatcher* watcher) : watcher_(watcher) {}

  void Put(const ReplicaEntry& entry);
  void Remove(TimeUs now, const ReplicaId& id);
  // The whole list: what is not in it was removed.
  void Replace(TimeUs now, const std::vector<ReplicaEntry>& entries);
  // The store stopped or began to answer.
  void OnStoreLost() { store_lost_ = true; }
  void OnStoreBack(TimeUs now);
  // Lets go of entries that were kept for the outage; call it every 100 ms.
  void OnTick(TimeUs now);

  // Entries that take new work.
  const std::vector<const ReplicaEntry*>& Of(std::string_view service) const;
  // Null when it is gone.
  const ReplicaEntry* Find(const ReplicaId& id) const;
  // The replica that made a result, whose handle begins with the replica's
  // address and a slash; null when none is listed there.
  const ReplicaEntry* MakerOf(std::string_view handle) const;
  bool TakesWork(const ReplicaId& id) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Row {
    ReplicaEntry entry;
    bool missing = false;  // Kept for an outage.
  };

  void Erase(std::map<ReplicaId, Row>::iterator it);
  void Rebuild();

  DirectoryWatcher* const watcher_;
  std::map<ReplicaId, Row> entries_;
  std::map<std::string, std::vector<const ReplicaEntry*>, std::less<>>
      by_service_;
  std::map<std::string, const ReplicaEntry*, std::less<>> by_address_;
  bool store_lost_ = false;
  TimeUs keep_until_ = 0;  // Vanished entries, after an outage.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_REPLICA_DIRECTORY_H_
