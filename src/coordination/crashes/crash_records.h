// Tells what ends the replicas that run it: which requests, and which parts of
// prompts (`CrashCause`).
//
// Such a request is sent again by its client, or others with the same part come
// at any gateway, and each ends a replica with all that others have in progress
// there. So gateways pass on which replicas ended while which causes were in
// progress there. A cause is blocked once too many replicas ended under it and
// no answer cleared it since (`JudgeCauses`):
// - A set of replicas is merged, not a count, so that several gateways that see
//   the same end, or tell of it twice, count it once.
// - An answer takes back all ends before it, at any gateway: what many clients
//   send is in progress at every end, and is answered too. Once it was, it
//   takes more ends to block it. What clears a request is a whole answer; what
//   clears a part is an answer that has begun, as a part that ends replicas
//   lets none begin.
#ifndef ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_RECORDS_H_
#define ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_RECORDS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/crashes/crash_judgement.h"
#include "messages.h"
#include "state/crash_cause.h"
#include "state/replica_directory.h"
#include "types.h"

namespace acaciachute {

class CrashRecords {
 public:
  // Ends from which on a gateway does not repeat a request by itself.
  static constexpr std::size_t kMaxEndsToRepeat = 2;
  // Time from the end that blocked several parts with the same ends within
  // which requests with only some of them are sent, at all gateways. Few can
  // come too late by that: all gateways have to know of the ends after three
  // seconds.
  static constexpr DurationUs kTellApartWindow = 2 * kSecond;
  // Ends from which on the store remembers a request that is not blocked yet.
  static constexpr std::size_t kMinEndsStored = 2;
  // Lifetime of a record that is not blocked, after its last end: clients send
  // again within minutes.
  static constexpr DurationUs kLifetime = 600 * kSecond;
  // Limits on memory, and on the size of a report. Of many records those of the
  // account with most of them are dropped first, so that a client which makes
  // up such requests displaces its own.
  static constexpr std::size_t kMaxRecords = 1024;
  static constexpr std::size_t kMaxEndsKept = 24;
  static constexpr std::size_t kMaxEndsReported = 8;  // The latest ones.
  static constexpr std::size_t kMaxClearedKept = 16384;

  // What is known about a cause.
  struct Verdict {
    std::size_t ends = 0;  // Replicas that count.
    bool blocked = false;
    bool doubtful = false;  // Blocked, but one request at a time may try it.
    // Blocked parts with the same ends, this one included.
    std::size_t rivals = 0;
    // Since the end that made them as many as the limit.
    DurationUs decided_age = 0;
    bool cleared_before = false;
    DurationUs last_end_age = 0;
    DurationUs blocked_for = kNever;  // Remaining time; `kNever`: no limit.
  };
  Verdict Of(TimeUs now, const CrashCause& cause) const;
  // Whether any request of the account has a record; if not, the fingerprints
  // of its requests need not be computed.
  bool HasRequestOf(const std::string& account) const {
    return requests_.contains(account);
  }
  bool Has(const CrashCause& cause) const { return records_.contains(cause); }
  bool HasBlockedPart() const {
    Judge();
    return blocked_parts_ > 0;
  }
  // Whether this gateway knows of an answer that cleared the cause.
  bool WasCleared(const CrashCause& cause) const;

  // A cause of a request that was in progress where a replica ended.
  struct Suspect {
    CrashCause cause;
    std::string account;
    EndedRun run;
  };
  // This gateway saw a replica end. Returns the suspects for which that is new.
  std::vector<CrashCause> OnReplicaEnded(TimeUs now,
                                         const ReplicaId& replica,
                                         const std::vector<Suspect>& suspects);
  // An answer, or an operator, shows that the cause is sound. Returns whether
  // that takes back any end that other gateways know. It also takes back ends
  // before it that are known only later.
  bool OnCleared(TimeUs now, const CrashCause& cause);
  // Merges what another gateway or the store knows; returns the causes of which
  // the number of ends changed.
  std::vector<CrashCause> Merge(TimeUs now, const CrashReport& report);

  // Causes that are blocked or not blocked any more, or of whose verdict the
  // doubt changed, since the last call.
  std::vector<CrashCause> TakeVerdictChanges();
  // Whether the store has to remember the cause, so that its ends count after a
  // kill of all gateways. Of parts, only blocked ones: others are in progress
  // wherever a replica ends, so each end would cost many writes.
  bool IsStored(TimeUs now, const CrashCause& cause) const;
  // Requests that this gateway saw end a replica and of which what the store
  // has to remember changed since the last call.
  std::vector<CrashCause> TakeStoreChanges(TimeUs now);
  // Whether this gateway saw a replica end under the cause.
  bool SawEnd(const CrashCause& cause) const;
  // Whether the end still counts for the cause.
  bool Stands(const ReplicaId& replica, const CrashCause& cause) const;

  // The latest ends of these causes, to tell others.
  CrashReport Report(TimeUs now, const std::vector<CrashCause>& causes);
  // What others are told of these suspects only.
  CrashReport Report(TimeUs now,
                     const ReplicaId& replica,
                     const std::vector<CrashCause>& suspects);
  // Up to `count` causes from the `first` on, and again from the beginning.
  // Those with too many ends come first, then those with the latest ends.
  std::vector<CrashCause> Some(TimeUs now,
                               std::size_t first,
                               std::size_t count) const;
  std::vector<CrashCause> All(TimeUs now) const {
    return Some(now, 0, records_.size());
  }
  // Of the first request under which a replica ended.
  std::string AccountOf(const CrashCause& cause) const;

 private:
  // What `Judge` says of a cause.
  struct State {
    bool blocked = false;
    bool doubtful = false;
    bool operator==(const State&) const = default;
  };

  struct Record {
    std::string account;
    std::optional<TimeUs> cleared_at;    // By the last answer.
    std::map<ReplicaId, EndedRun> ends;  // By replica; at least one.
    bool saw_end = false;                // This gateway did, not only others.
    bool told = false;                   // Another gateway knows an end.
    // Derived by `Judge`.
    std::size_t standing = 0;  // Ends that no answer took back.
    bool has_too_many = false;
    std::size_t counted = 0;  // Ends that no other cause explains.
    std::size_t rivals = 0;
    TimeUs decided_at = 0;
    State state;
    State reported_state;         // By `TakeVerdictChanges`.
    std::size_t stored_ends = 0;  // By `TakeStoreChanges`; zero: not stored.

    // Whether no answer took the end back.
    bool Stands(const EndedRun& run) const {
      return !cleared_at || run.ended_at > *cleared_at;
    }
    TimeUs LastEnd() const;
  };
  using Records = absl::flat_hash_map<CrashCause, Record>;

  // Derives the verdicts again if anything changed.
  void Judge() const;

  Record& FindOrAdd(TimeUs now,
                    const CrashCause& cause,
                    const std::string& account);
  void AddEnd(Record* record, const ReplicaId& replica, const EndedRun& run);
  static std::uint64_t ClearedKey(const CrashCause& cause);
  std::optional<TimeUs> LastCleared(const CrashCause& cause) const;
  bool IsExpired(TimeUs now, CauseKind kind, const Record& record) const;
  void Erase(const CrashCause& cause);
  void RemoveExpired(TimeUs now);
  void EvictIfFull();

  mutable Records records_;  // `Judge` sets what is derived.
  mutable bool judged_ = true;
  mutable std::size_t blocked_parts_ = 0;
  std::map<std::string, std::size_t> accounts_;  // Number of records.
  std::map<std::string, std::size_t> requests_;  // Those of requests only.
  // When causes were last cleared here, by hash. At `kMaxClearedKept`, the ones
  // before replace the older ones.
  using Cleared = absl::flat_hash_map<std::uint64_t, TimeUs>;
  Cleared cleared_;
  Cleared older_cleared_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_RECORDS_H_
