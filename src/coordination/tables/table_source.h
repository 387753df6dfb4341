// Whom this gateway asks for a table: the store, or a gateway that follows it.
//
// Of each failure domain one gateway in `RelayPlan::kFollowersARelay` asks the
// store, the others ask that one, or one of another domain when theirs does not
// answer, and the store itself when several do not. All gateways answer each
// other's requests (see `TableRelay`), so it does no harm when two disagree
// about who asks whom: answers carry their age, and one that gets old is given
// up like one that is silent.
//
// Failure: the gateway that is asked dies, freezes, is cut off, lags behind, or
// is turned away by the store. Symptom: those that follow it go on under a
// configuration that was replaced, or refuse all requests with keys once the
// bound on their age is over. Most of these are noticed within a second. None
// need be: when what is known is as old as `FreshnessPlan` allows, the store
// itself is asked.
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
  // Beyond the time for which a relay holds a request: a connection and an
  // answer on a host that is short of its processor.
  static constexpr DurationUs kReplyTime = 350 * kMillisecond;
  // A relay that failed is passed over for this long: a heartbeat of one among
  // a hundred gateways, which tells whether it lives.
  static constexpr DurationUs kShun = 3 * kSecond;
  // One that does not reach the store either: it may be back soon.
  static constexpr DurationUs kShunWithoutStore = kSecond;
  // Relays that fail one after the other until the store itself is asked.
  static constexpr int kFailuresUntilStore = 3;
  // While the store fails, its answer is awaited for this long at most: it is
  // asked anew soon after its return, and late answers are taken.
  static constexpr DurationUs kStoreProbe = 700 * kMillisecond;
  // After a first failure that no relay has met too, the store is asked again.
  static constexpr DurationUs kStoreSoon = 100 * kMillisecond;

  using AnswerFn = std::function<void(TimeUs now, const TableAnswer& answer)>;

  TableSource(std::string table,
              const FreshnessPlan* plan,
              const GatewayPeers* peers,
              StoreReader* store,
              TableRelayOutput* output,
              Random* random,
              Metrics* metrics,
              EventLog* log,
              AnswerFn on_answer);

  // TableReader. One answer follows each, through `on_answer`. It is a failure
  // only when the store itself did not answer this gateway in time: a relay
  // that lost the store says nothing of the store. The answer of a store that
  // is slow may follow a failure.
  void ReadRows(TimeUs now,
                const std::string& table,
                const std::string& from) override;
  void ReadChanges(TimeUs now,
                   const std::string& table,
                   std::uint64_t after,
                   DurationUs wait) override;

  void OnStoreAnswer(TimeUs now, std::uint64_t id, TableAnswer answer);
  void OnReply(TimeUs now, const NodeId& from, const TableReply& reply);
  // Its connection broke, or none could be made.
  void OnPeerLost(TimeUs now, const NodeId& peer);
  // Ends what takes too long; call it every 10 ms.
  void OnTick(TimeUs now);

  // When the request that the store last failed to answer was sent; negative:
  // it never failed.
  TimeUs store_failed_at() const { return store_failed_at_; }

 private:
  enum class State { kOpen, kAnswered, kFailed };
  struct Question {
    State state = State::kAnswered;
    TableQuery query;
    TimeUs asked_at = 0;
  };
  struct PeerCall {
    NodeId peer;  // Empty: none is asked.
    std::uint64_t sequence = 0;
    TimeUs asked_at = 0;
  };

  void Begin(TimeUs now, TableQuery query);
  // Unless one request to it is awaited already.
  void AskStore(TimeUs now);
  void SendToStore(TimeUs now);
  void AskPeer(TimeUs now);
  // The relay to ask; empty when there is none.
  NodeId Choose(TimeUs now);
  bool AsksStoreFirst() const;
  bool RelaysFail() const;
  // While the store does not answer, it is asked now and then.
  bool MayAskStore(TimeUs now) const;
  // Whether the store itself has to be asked, because what is known is old.
  bool IsOld(TimeUs now) const;
  DurationUs StoreInTime() const;
  void GiveUpStore(TimeUs now);
  void AskStoreWhenOld(TimeUs now);
  // Whether an answer is of use; also one that comes after the failure.
  bool IsWanted() const;
  // Whether this is one.
  bool Fits(const StoreRequests::Sent& sent, const TableAnswer& answer) const;
  void TellLate(TimeUs now, const StoreRequests::Sent& sent);
  void OnStoreFailed(TimeUs now, TimeUs asked_at, const TableAnswer& answer);
  bool IsOpen() const { return question_.state == State::kOpen; }
  void OnStoreLostAtPeer(TimeUs now, const TableAnswer& answer);
  void OnHistoryGoneAtPeer(TimeUs now, const TableAnswer& answer);
  void OnPeerAnswer(TimeUs now, TableAnswer answer);
  void OnPeerFailed(TimeUs now, std::string_view why);
  void Finish(TimeUs now, TimeUs asked_at, TableAnswer answer);
  void Fail(TimeUs now, const TableAnswer& answer);
  void TellSource(TimeUs now, const std::string& source, std::string_view why);

  const std::string table_;
  const FreshnessPlan* const plan_;
  const GatewayPeers* const peers_;
  TableRelayOutput* const output_;
  Random* const random_;
  Metrics* const metrics_;
  EventLog* const log_;
  const AnswerFn on_answer_;

  Question question_;
  StoreRequests store_requests_;
  PeerCall peer_call_;
  RemoteClock store_clock_;
  std::uint64_t next_sequence_ = 0;
  TimeUs known_at_ = -1;       // The last answer's; negative: none.
  std::uint64_t version_ = 0;  // The highest that was answered.
  bool store_failed_ = false;
  TimeUs store_failed_at_ = -1;    // When the last one that failed was asked.
  int peer_failures_ = 0;          // In a row.
  bool relay_lost_store_ = false;  // So one said since the last answer.
  TimeUs store_next_at_ = 0;
  std::map<NodeId, TimeUs> shunned_until_;
  std::string told_source_;  // Who was asked last, as the log has it.
  std::string why_;          // The last failure, for the log.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_TABLE_SOURCE_H_
