// Tells which requests end the replicas that run them.
//
// Such a request is sent again by its client, at any gateway, and each time
// ends a replica with all that others have in progress there. So gateways pass
// on which replicas ended while which request was in progress there. A request
// is blocked once `kMaxEnds` replicas ended under it in sequence and no run of
// it was answered whole since:
// - Only runs that began after the end before count: many replicas may end at
//   once, as their hosts lose power, while copies of one request run at them.
// - A set of replicas is merged, not a count, so that several gateways that see
//   the same end, or tell of it twice, count it once.
// - A whole answer takes back all ends before it, at any gateway: a request
//   that many clients send is in progress at every end, and is answered too.
//   Once it was, it takes twice as many ends to block it.
// - The ends of a blocked request do not count for requests with fewer ends:
//   they were in progress beside it.
// - After `kBlockDuration` it may run again, and one more end blocks it again.
#ifndef ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_RECORDS_H_
#define ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_RECORDS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "messages.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class CrashRecords {
 public:
  // Replicas that may end under a request before it is blocked.
  static constexpr std::size_t kMaxEnds = 3;
  static constexpr std::size_t kMaxEndsOnceAnswered = 2 * kMaxEnds;
  // Ends from which on a gateway does not repeat the request by itself.
  static constexpr std::size_t kMaxEndsToRepeat = 2;
  // Time for which a request stays blocked after the last end. By then whoever
  // runs the replicas has had time to mend or replace them.
  static constexpr DurationUs kBlockDuration = 3600 * kSecond;
  // Lifetime of a record after its last end: long for requests that were
  // blocked, short for others, as clients send again within minutes.
  static constexpr DurationUs kBlockedLifetime = 24 * 3600 * kSecond;
  static constexpr DurationUs kLifetime = 600 * kSecond;
  // Limits on memory, and on the size of a datagram with records. Of many
  // records those of the account with most of them are dropped first, so that a
  // client which makes up such requests displaces its own.
  static constexpr std::size_t kMaxRecords = 1024;
  static constexpr std::size_t kMaxEndsKept = 8;
  static constexpr std::size_t kMaxAnswersKept = 4096;

  // What is known about a request.
  struct Verdict {
    std::size_t ends = 0;  // Replicas that count.
    bool blocked = false;
    DurationUs last_end_age = 0;
    DurationUs blocked_for = 0;  // Remaining time.
  };
  Verdict Of(TimeUs now, const std::string& fingerprint) const;
  // Whether any request of the account has a record; if not, the fingerprints
  // of its requests need not be computed.
  bool HasAccount(const std::string& account) const {
    return accounts_.contains(account);
  }

  // A run of a request at a replica, which ended under it.
  struct EndedRun {
    TimeUs began_at = 0;
    TimeUs ended_at = 0;
  };
  // Returns whether the record changed.
  bool OnReplicaEnded(TimeUs now,
                      const EndedRun& run,
                      const std::string& fingerprint,
                      const std::string& account,
                      const ReplicaId& replica);
  // A run of the request was answered whole, or an operator lifts its block.
  // Returns whether that takes back any end. It also takes back ends before it
  // that are known only later.
  bool OnAnswered(TimeUs now, const std::string& fingerprint);
  // Merges a record of another gateway or of the store; returns whether this
  // one's changed.
  bool Merge(TimeUs now, const CrashRecord& record);
  // The record of a request, for other gateways; without ends if there is none.
  CrashRecord Get(TimeUs now, const std::string& fingerprint) const;
  // Up to `count` records from the `first` on, and again from the beginning.
  // Those with too many ends come first, then those with the latest ends.
  std::vector<CrashRecord> Some(TimeUs now,
                                std::size_t first,
                                std::size_t count) const;
  std::vector<CrashRecord> All(TimeUs now) const {
    return Some(now, 0, records_.size());
  }

 private:
  struct Record {
    std::string account;
    std::optional<TimeUs> answered_at;   // Of the last whole answer.
    std::map<ReplicaId, EndedRun> ends;  // By replica; at least one.

    // Whether no answer took the end back.
    bool Stands(const EndedRun& run) const {
      return !answered_at || run.ended_at > *answered_at;
    }
    // Number of ends that stand, in sequence.
    std::size_t Standing() const;
    std::size_t MaxEnds() const {
      return answered_at ? kMaxEndsOnceAnswered : kMaxEnds;
    }
    bool HasTooMany() const { return Standing() >= MaxEnds(); }
    TimeUs LastEnd() const;
  };

  Record& FindOrAdd(TimeUs now,
                    const std::string& fingerprint,
                    const std::string& account);
  static void AddEnd(Record* record,
                     const ReplicaId& replica,
                     const EndedRun& run);
  // The most runs of which each began after the one before had ended.
  static std::size_t InSequence(std::vector<EndedRun> runs);
  // Whether the end is that of a blocked request with more ends.
  bool IsExplained(const ReplicaId& replica, const Record& record) const;
  bool IsExpired(TimeUs now, const Record& record) const;
  void Erase(const std::string& fingerprint);
  void RemoveExpired(TimeUs now);
  void EvictIfFull();

  absl::flat_hash_map<std::string, Record> records_;  // By fingerprint.
  std::map<std::string, std::size_t> accounts_;       // Number of records.
  // When requests were last answered whole here. At `kMaxAnswersKept`, the ones
  // before replace the older ones.
  using Answers = absl::flat_hash_map<std::string, TimeUs>;
  Answers answers_;
  Answers older_answers_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_RECORDS_H_
