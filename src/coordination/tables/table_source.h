// Chooses where this gateway reads a table from: the store, or a gateway that
// follows the store.
//
// In each failure domain, one gateway per `RelayPlan::kFollowersPerRelay` asks
// the store. The others ask that relay; if it does not answer, a relay of
// another domain; and if several do not answer, the store itself. All gateways
// answer each other's requests (see `TableRelay`), so it does no harm if two
// disagree about the relays: answers carry their age, and a relay whose answers
// become old is treated like one that does not answer.
//
// The relay may crash, freeze, be cut off, lag behind, or be refused by the
// store. Its followers would then use a configuration that was replaced, or
// refuse all requests with keys once the bound on the age of their data is
// exceeded. Most of these failures are detected within a second. None has to
// be: when the data are as old as `FreshnessPlan` allows, the store itself is
// asked.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_SOURCE_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_SOURCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/membership/gateway_peers.h"
#include "coordination/tables/freshness_plan.h"
#include "coordination/tables/remote_clock.h"
#include "coordination/tables/split_row.h"
#include "coordination/tables/store_requests.h"
#include "coordination/tables/table_relay.h"
#include "coordination/tables/table_watch.h"
#include "messages.h"
#include "state/event_log.h"
#include "state/metrics.h"
#include "state/random.h"
#include "types.h"

namespace acaciachute {

class TableSource : public TableReader {
 public:
  // Time limit for a relay's answer beyond the time for which it holds a
  // request: covers a connection and an answer on a host that is short of
  // processor time.
  static constexpr DurationUs kRelayReplyMargin = 350 * kMillisecond;
  // Time for which a relay that failed is skipped: one heartbeat period of a
  // gateway among a hundred, which shows whether it is alive.
  static constexpr DurationUs kRelayBackoff = 3 * kSecond;
  // Time for which a relay that does not reach the store either is skipped: it
  // may reach it again soon.
  static constexpr DurationUs kStorelessRelayBackoff = kSecond;
  // Number of successive relay failures after which the store itself is asked.
  static constexpr int kRelayFailuresBeforeStore = 3;
  // Time limit of a store request while the store fails, so that it is asked
  // again soon after it returns. Late answers are still used.
  static constexpr DurationUs kStoreProbeTimeout = 700 * kMillisecond;
  // Longest delay until the store is asked again after its first failure,
  // unless a relay has lost the store too.
  static constexpr DurationUs kStoreFirstRetryDelay = 100 * kMillisecond;

  using AnswerFn = std::function<void(TimeUs now, const TableAnswer& answer)>;

  TableSource(std::string table,
              const FreshnessPlan* plan,
              const GatewayPeers* peers,
              StoreReader* store,
              TableRelayOutput* output,
              SplitRow* split_row,
              Random* random,
              Metrics* metrics,
              EventLog* log,
              AnswerFn on_answer);

  // TableReader. Exactly one answer to each call follows through `on_answer`.
  // It is a failure only if the store itself did not answer this gateway in
  // time: that a relay lost the store does not show that the store failed. The
  // answer of a slow store may follow a failure.
  void ReadRows(TimeUs now,
                const std::string& table,
                const std::string& from) override;
  void ReadChanges(TimeUs now,
                   const std::string& table,
                   std::uint64_t after,
                   DurationUs wait) override;

  void OnStoreAnswer(TimeUs now, std::uint64_t id, TableAnswer answer);
  void OnReply(TimeUs now, const NodeId& from, const TableReply& reply);
  // The connection to the peer broke, or none could be made.
  void OnPeerLost(TimeUs now, const NodeId& peer);
  // Ends requests that exceed their time limits. Call it every 10 ms.
  void OnTick(TimeUs now);

  // Whether changes are arriving that are not complete yet. An answer of the
  // store without changes is too small to be seen on its way. After bytes that
  // were no answer, those of the store say nothing until it answers again.
  bool ReceivesChanges() const;
  // When the last request that the store failed to answer was sent; negative if
  // it never failed.
  TimeUs store_failed_at() const { return store_failed_at_; }

 private:
  enum class State { kOpen, kAnswered, kFailed };
  struct TableRead {
    State state = State::kAnswered;
    TableQuery query;
    TimeUs sent_at = 0;
  };
  struct RelayRequest {
    NodeId peer;  // Empty if no relay is asked.
    std::uint64_t sequence = 0;
    TimeUs sent_at = 0;
  };

  void Begin(TimeUs now, TableQuery query);
  // Sends a request to the store, unless one is awaited already.
  void RequestFromStore(TimeUs now);
  void SendStoreRequest(TimeUs now);
  void RequestFromRelay(TimeUs now);
  void SendRelayRequest(TimeUs now, const NodeId& peer, DurationUs wait);
  // The relay to ask; empty if there is none.
  NodeId ChooseRelay(TimeUs now);
  bool PrefersStore() const;
  bool RelaysFailed() const;
  // Whether the store may be asked now: while it fails, only when the next
  // retry is due.
  bool MayRequestFromStore(TimeUs now) const;
  // Whether a relay sends changes of the split row page by page. The whole row
  // from the store would take longer and slow them down.
  bool ReceivesPages() const;
  // Whether the table is so old that the store itself has to be asked.
  bool IsStoreRequestDue(TimeUs now) const;
  DurationUs StoreTimeout() const;
  void CheckStoreTimeout(TimeUs now);
  void RequestFromStoreIfOld(TimeUs now);
  // Whether an answer is still needed, either to an open read or, after its
  // failure, to a read that starts at the first row.
  bool NeedsAnswer() const;
  // Whether an answer to the store request `sent` answers the current read.
  bool AnswersRead(const StoreRequests::Sent& sent,
                   const TableAnswer& answer) const;
  void LogLateAnswer(TimeUs now, const StoreRequests::Sent& sent);
  void OnStoreFailed(TimeUs now, TimeUs sent_at, const TableAnswer& answer);
  bool IsOpen() const { return read_.state == State::kOpen; }
  void OnStoreLostAtPeer(TimeUs now, const TableAnswer& answer);
  void OnHistoryTruncatedAtPeer(TimeUs now, const TableAnswer& answer);
  // Receives a page of the split row. Returns whether it was the last one.
  bool OnPage(TimeUs now, const SplitRowPage& page);
  void OnPeerAnswer(TimeUs now, TableAnswer answer);
  void OnPeerFailed(TimeUs now, std::string_view reason);
  void Finish(TimeUs now, TimeUs sent_at, TableAnswer answer);
  void Fail(TimeUs now, const TableAnswer& answer);
  void LogSource(TimeUs now,
                 const std::string& source,
                 std::string_view reason);

  const std::string table_;
  const FreshnessPlan* const plan_;
  const GatewayPeers* const peers_;
  TableRelayOutput* const output_;
  SplitRow* const split_row_;  // Null if the table has none.
  Random* const random_;
  Metrics* const metrics_;
  EventLog* const log_;
  const AnswerFn on_answer_;

  TableRead read_;
  StoreRequests store_requests_;
  RelayRequest relay_request_;
  RemoteClock store_clock_;
  std::uint64_t next_sequence_ = 0;
  // Time of the last answer's data; negative if there is none.
  TimeUs known_at_ = -1;
  std::uint64_t version_ = 0;  // Highest version received.
  bool store_failed_ = false;
  bool store_malformed_ = false;
  TimeUs store_failed_at_ = -1;  // See `store_failed_at`.
  int relay_failures_ = 0;       // Successive.
  // Whether a relay reported since the last answer that it does not reach the
  // store.
  bool relay_lost_store_ = false;
  TimeUs next_store_request_at_ = 0;
  std::map<NodeId, TimeUs> backoff_until_;
  std::string logged_source_;  // The source that was logged last.
  std::string last_failure_;   // Reason of the last failure, for the log.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_SOURCE_H_
