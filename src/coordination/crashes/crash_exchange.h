// Passes crash records on: to the other gateways, and to the store.
//
// Each gateway sees only the ends of replicas at which it had requests in
// progress, so a record counts only once all gateways have it. Changes go to
// all gateways at once, as heartbeats among hundreds of them come seconds
// apart, and three times, as datagrams are lost. Who misses all three learns
// from a gateway that sends some records to a random other one each second. A
// gateway that has started is sent all records. If all are killed at once, only
// the store remembers: it has a row for each blocked request, which a gateway
// reads before it is ready. Records of requests that are not blocked are lost
// then, which costs two replicas at most.
#ifndef ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_EXCHANGE_H_
#define ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_EXCHANGE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "messages.h"
#include "state/random.h"
#include "types.h"

namespace acaciachute {

class CrashExchangeOutput {
 public:
  virtual ~CrashExchangeOutput() = default;
  virtual void SendCrashRecords(const NodeId& peer,
                                const CrashRecordUpdate& update) = 0;
  // See `CrashRecords::Some`.
  virtual std::vector<CrashRecord> CrashRecordsToSend(std::size_t first,
                                                      std::size_t count) = 0;
  // Replaces a row of the store; `CrashExchange::OnWritten` follows.
  virtual void WriteCrashRow(const std::string& key,
                             const CrashRecord& record) = 0;
  // `CrashExchange::OnRead` follows.
  virtual void ReadCrashRows() = 0;
};

class CrashExchange {
 public:
  static constexpr int kSends = 3;
  static constexpr DurationUs kSendInterval = 150 * kMillisecond;
  // Interval between records to a random gateway, and records in each.
  static constexpr DurationUs kGossipInterval = kSecond;
  static constexpr std::size_t kMaxPerGossip = 4;
  // Records in one datagram, which they have to fit into.
  static constexpr std::size_t kMaxPerDatagram = 2;
  // Records that a gateway which has started is sent, blocked ones first.
  static constexpr std::size_t kMaxToNewPeer = 16;
  // Delay until a failed read or write of the store is repeated.
  static constexpr DurationUs kRetryDelay = 500 * kMillisecond;
  // Changes that wait for the store; of more, any is dropped.
  static constexpr std::size_t kMaxUnwritten = 64;

  CrashExchange(CrashExchangeOutput* output, Random* random)
      : output_(output), random_(random) {}

  // The row of a request. There are 256, so the table has a bound without
  // anyone who removes rows.
  static std::string RowKey(const std::string& fingerprint) {
    constexpr std::size_t kKeyDigits = 2;
    return fingerprint.substr(0, kKeyDigits);
  }

  // This gateway saw the record change. `blocked`: it belongs into the store.
  void OnChanged(TimeUs now, const CrashRecord& record, bool blocked);
  // A gateway has started or was not known before.
  void OnNewPeer(const NodeId& peer);
  // `peers`: the other live gateways. Call it every 10 ms.
  void OnTick(TimeUs now, const std::vector<NodeId>& peers);
  void OnWritten(TimeUs now, bool decided);
  void OnRead(TimeUs now, bool ok);
  bool has_read() const { return has_read_; }

 private:
  struct Change {
    CrashRecord record;
    TimeUs changed_at = 0;
    int sends = 0;
  };

  void Store(const CrashRecord& record);
  void Gossip(TimeUs now, const std::vector<NodeId>& peers);
  void SendTo(const NodeId& peer, const std::vector<CrashRecord>& records);
  void SendChanges(TimeUs now, const std::vector<NodeId>& peers);
  void CallStore(TimeUs now);

  CrashExchangeOutput* const output_;
  Random* const random_;
  std::map<std::string, Change> changes_;         // By fingerprint.
  std::map<std::string, CrashRecord> unwritten_;  // By fingerprint.
  std::string writing_;  // Fingerprint of the write in progress, if any.
  bool has_read_ = false;
  bool reading_ = false;
  std::size_t gossiped_ = 0;  // Records sent to random gateways so far.
  TimeUs next_gossip_at_ = 0;
  TimeUs next_read_at_ = 0;
  TimeUs next_write_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_EXCHANGE_H_
