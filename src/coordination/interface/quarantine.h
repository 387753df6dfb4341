// Isolates requests that crash the upstreams that run them.
//
// A request that crashes each upstream it reaches is sent again by its caller
// through another entry and a new connection. Without a quarantine each attempt
// costs a replica and every request in progress there: a pool of nine replicas
// is out of service after nine attempts.
//
// A crash makes every request in progress a suspect, as it does not show which
// one caused it. Each suspect runs alone, at an upstream that has not crashed
// under it yet; if it is answered there it is cleared, if that upstream crashes
// too it is convicted and refused at every node. So no request is convicted
// because of others that ran beside it, and a caller that waits for its answer
// before it resends costs two replicas. Of copies sent before the first crash
// is known (one network delay), each may cost two.
//
// Records spread with heartbeats. Clearing a record raises its epoch. The
// higher epoch wins, within one epoch the worse state, and the lists of crashes
// are merged, so nodes converge whatever the order of messages. A record is
// about one request in one pool: a request that passes the encoders unharmed
// may still crash every generator.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_QUARANTINE_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "messages.h"
#include "types.h"

namespace acaciachute {

// Identifies a request of `account` in `pool`, with the same value at every
// node. Never zero.
std::uint64_t StageFingerprint(std::string_view account,
                               std::string_view body,
                               std::string_view pool);

// Formats a fingerprint as sixteen hex digits, as operators see and type it.
std::string FingerprintText(std::uint64_t fingerprint);

class Quarantine {
 public:
  // Lifetime of a conviction. By then the engine that crashed is fixed or
  // replaced; otherwise the next two attempts convict the request again.
  static constexpr DurationUs kConvictionDuration = 3600 * kSecond;
  // Lifetime of a suspicion; a caller's resends come within minutes.
  static constexpr DurationUs kSuspicionDuration = 600 * kSecond;
  // Maximum number of records, under 200 bytes each. A crash adds at most one
  // batch of requests, so this is enough for more than a hundred crashes per
  // hour.
  static constexpr std::size_t kMaxRecords = 4096;
  // Maximum number of records in one heartbeat, under 2 KB. Half of them are
  // the newest, the others are sent in rotation, so that a node that starts
  // late receives all of them.
  static constexpr std::size_t kMaxRecordsPerHeartbeat = 16;

  struct Suspect {
    std::uint64_t fingerprint = 0;
    std::string account;
  };

  QuarantineState Of(TimeUs now, std::uint64_t fingerprint) const;
  // Upstreams that crashed with the request in progress.
  std::vector<NodeId> CrashedAt(std::uint64_t fingerprint) const;

  // Text that explains a conviction to a caller or an operator.
  std::string Explain(std::uint64_t fingerprint) const;

  // The upstream at `node` crashed with exactly the requests `in_progress`,
  // which may list a request twice.
  void OnCrash(TimeUs now,
               const NodeId& node,
               const std::vector<Suspect>& in_progress);
  // A suspect ran alone at an upstream and was answered.
  void OnAnsweredAlone(TimeUs now, std::uint64_t fingerprint);
  // An operator cleared the request. Returns false if it was neither suspected
  // nor convicted.
  bool Lift(TimeUs now, std::uint64_t fingerprint);

  // Merges records of another node; returns true if any record changed.
  bool Merge(TimeUs now, const std::vector<QuarantineRecord>& records);
  // Returns the records to send with the next heartbeat.
  std::vector<QuarantineRecord> RecordsToSend(TimeUs now);
  // Returns the record of one request, to attach to stage calls and to failures
  // after a crash; empty if there is none.
  std::vector<QuarantineRecord> RecordOf(TimeUs now,
                                         std::uint64_t fingerprint) const;
  // Returns the suspected and convicted requests, for operators.
  std::vector<QuarantineRecord> All(TimeUs now) const;
  std::size_t size() const { return records_.size(); }

 private:
  struct Entry {
    std::uint32_t epoch = 0;
    QuarantineState quarantine_state = QuarantineState::kClear;
    TimeUs changed_at = 0;
    std::string account;
    std::vector<NodeId> crashed_at;
  };
  static bool IsExpired(TimeUs now, const Entry& entry);
  static QuarantineRecord ToRecord(TimeUs now,
                                   std::uint64_t fingerprint,
                                   const Entry& entry);
  Entry& FindOrAdd(TimeUs now, std::uint64_t fingerprint);
  void Clear(TimeUs now, std::uint64_t fingerprint);
  void AddCrash(TimeUs now,
                const NodeId& node,
                const Suspect& suspect,
                bool alone);
  void EvictIfFull(TimeUs now);

  std::map<std::uint64_t, Entry> records_;
  std::uint64_t last_rotated_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_QUARANTINE_H_
