// Account of the memory that results occupy at the replicas of one service, as
// the service's batcher sees it.
//
// A replica refuses pieces for which it has no memory, and each piece that is
// sent again needs the retry budget. So calls are sized by what is free. The
// account has two parts:
// - own bytes: results that were made for this batcher or are being made. A
//   release frees them once the replica has answered it;
// - foreign bytes: the remainder of what the replica's report says is in use,
//   for example results of gateways that have ended.
// A replica of which nothing is known is in doubt: it is to be asked, and gets
// no call until it answers, for a limited time.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_RESULT_MEMORY_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_RESULT_MEMORY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "state/replica_directory.h"
#include "state/replica_report.h"
#include "state/serving_config.h"
#include "types.h"

namespace acaciachute {

// Why the belief about a replica's memory changed.
enum class MemoryNews {
  kTakenUp,         // The batching of the service moved.
  kRefused,         // A piece came back for lack of memory.
  kEvacuationOver,  // Releases were not sent during the evacuation.
  kReported,
  kNoAnswer,
  kNotStated,  // The report says nothing of free memory.
  kUnreadable,
  kAboveCapacity,  // The report states more than the capacity.
  kAgedOut,        // All results that were foreign have expired.
};
inline constexpr std::array<std::string_view, 9> kMemoryNewsNames = {
    "taken_up",   "refused",    "evacuation_over", "reported", "no_answer",
    "not_stated", "unreadable", "above_capacity",  "aged_out"};
constexpr std::string_view Name(MemoryNews v) {
  return detail::NameIn(kMemoryNewsNames, v);
}

// What is believed of a replica's memory after a change.
struct MemoryBelief {
  std::string service;
  ReplicaId replica;
  MemoryNews news = MemoryNews::kTakenUp;
  std::uint64_t capacity = 0;
  std::uint64_t own = 0;
  std::uint64_t foreign = 0;
  // Since the report that the foreign bytes are from was asked for.
  DurationUs age = 0;
  std::string stated;  // What could not be read.
};

class ResultMemory {
 public:
  // How long a replica in doubt gets no call while its report is awaited.
  static constexpr DurationUs kReportWait = 250 * kMillisecond;
  // Least time between two questions to one replica.
  static constexpr DurationUs kAskPeriod = 200 * kMillisecond;
  // Time for which a replica that did not state its free memory is neither
  // asked nor waited for again.
  static constexpr DurationUs kSilencePeriod = 5 * kSecond;
  // A release without an answer counts as done after this time.
  static constexpr DurationUs kReleaseWait = kSecond;
  // Time without calls to a replica that refused a piece for lack of memory and
  // does not say what is free.
  static constexpr DurationUs kRefusedBackoff = 300 * kMillisecond;
  // Sizes of results are approximate: less than this share of the capacity does
  // not count as foreign.
  static constexpr double kLeastForeignShare = 0.02;

  // Age of what a report states, at most. Results that were released since then
  // still count in it; without this, they would be taken for foreign ones.
  static constexpr DurationUs kReportLag = 500 * kMillisecond;

  using NewsFn = std::function<void(const MemoryBelief& belief)>;

  explicit ResultMemory(NewsFn on_news) : on_news_(std::move(on_news)) {}

  void SetService(const std::string& name, const BatchLimits& limits);

  // Memory for results that are being made.
  void Reserve(const ReplicaId& id, std::uint64_t bytes);
  void EndProduction(const ReplicaId& id, std::uint64_t bytes);
  // Records a stored result. It occupies the replica's memory until its release
  // was answered or it expires.
  void AddResult(TimeUs now,
                 const ReplicaId& id,
                 const std::string& handle,
                 std::uint64_t bytes);
  void OnReleaseSent(TimeUs now, const std::vector<std::string>& handles);
  void OnReleased(const std::vector<std::string>& handles);
  void OnTick(TimeUs now);

  // All replicas are in doubt: what is known is of an earlier time.
  void DoubtAll(TimeUs now);
  void OnReplicaRemoved(const ReplicaId& id);
  // The incarnation has ended, and its results with it.
  void OnReplicaEnded(const ReplicaId& id);
  // The replica had no memory for a piece.
  void OnRefused(TimeUs now, const ReplicaId& id);
  // A waiting piece does not fit there.
  void OnDoesNotFit(const ReplicaId& id) { accounts_[id].wanted = true; }

  // Whether to ask the replica for its report. If so, `OnAsked` must follow,
  // and `OnReport` once unless the question could not be asked.
  bool ToAsk(TimeUs now, const ReplicaEntry& replica);
  void OnAsked(TimeUs now, const ReplicaId& id, bool asked);
  // `report`: empty if the replica did not answer.
  void OnReport(TimeUs now,
                const ReplicaId& id,
                const std::optional<ReplicaReport>& report);

  // Whether enough is known of the replica's memory for a call.
  bool AcceptsCalls(TimeUs now, const ReplicaId& id) const;
  // Memory in use there, as far as is known.
  std::uint64_t UsedBytes(const ReplicaId& id) const;
  std::uint64_t OwnBytes(const ReplicaId& id) const;
  std::uint64_t ForeignBytes(const ReplicaId& id) const;
  // Share of the result memory of all these replicas that is in use.
  double ShareInUse(const std::vector<const ReplicaEntry*>& replicas) const;

 private:
  struct Account {
    std::uint64_t own = 0;
    std::uint64_t foreign = 0;
    TimeUs foreign_at = 0;  // When the report was asked for.
    bool in_doubt = true;
    bool asking = false;
    TimeUs asked_at = 0;  // Zero: never.
    // Highest own bytes in the present and in the previous window.
    std::uint64_t own_peak = 0;
    std::uint64_t own_peak_before = 0;
    TimeUs silent_until = 0;
    TimeUs refused_until = 0;
    bool wanted = false;   // A waiting piece did not fit since the last report.
    bool removed = false;  // Not listed at present.
  };
  struct StoredResult {
    ReplicaId producer;
    std::uint64_t bytes = 0;
    TimeUs expires_at = 0;  // When the replica discards the result.
    TimeUs free_at = 0;  // When a release that was sent counts; zero: not sent.
  };

  const Account* Find(const ReplicaId& id) const;
  void RotatePeaks(TimeUs now);
  void Free(const ReplicaId& id, std::uint64_t bytes);
  void Doubt(TimeUs now, const ReplicaId& id, MemoryNews why);
  // The replica does not say what is free.
  void UseWithoutReport(TimeUs now,
                        const ReplicaId& id,
                        MemoryNews why,
                        const std::string& stated);
  void Tell(TimeUs now,
            const ReplicaId& id,
            MemoryNews news,
            const std::string& stated = "") const;

  const NewsFn on_news_;
  std::string service_;
  BatchLimits limits_;
  absl::flat_hash_map<ReplicaId, Account> accounts_;
  std::map<std::string, StoredResult> results_;  // By handle.
  TimeUs next_rotation_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_RESULT_MEMORY_H_
