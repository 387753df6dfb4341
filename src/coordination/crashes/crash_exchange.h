// Passes on which replicas ended under which causes: to the other gateways, and
// to the store.
//
// Each gateway sees only the ends of replicas at which it had requests in
// progress, so an end counts only once all gateways know it. News go to all
// gateways at once, as heartbeats among hundreds of them come seconds apart,
// and three times, as datagrams are lost. Who misses all three learns from a
// gateway that sends some causes to a random other one each second. A gateway
// that has started is sent those with most ends. If all are killed at once,
// only the store remembers: it has rows for the blocked causes and for requests
// with a second end, which a gateway reads before it is ready. What is known of
// others is lost then, which costs one end of a request, and the ends below the
// limit of a part.
#ifndef ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_EXCHANGE_H_
#define ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_EXCHANGE_H_

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "messages.h"
#include "state/random.h"
#include "types.h"

namespace acaciachute {

class CrashExchangeOutput {
 public:
  virtual ~CrashExchangeOutput() = default;
  // The other live gateways.
  virtual std::vector<NodeId> LivePeers() = 0;
  virtual void SendCrashReport(const NodeId& peer,
                               const CrashReport& report) = 0;
  // See `CrashRecords::Some`.
  virtual CrashReport CrashReportToSend(std::size_t first,
                                        std::size_t count) = 0;
  // Replaces a row of the store by what is known now of the causes with this
  // key that it has to remember; `CrashExchange::OnWritten` follows, never from
  // inside this call.
  virtual void WriteCrashRow(const std::string& key) = 0;
  // `CrashExchange::OnRead` follows.
  virtual void ReadCrashRows() = 0;
};

class CrashExchange {
 public:
  static constexpr int kSends = 3;
  static constexpr DurationUs kSendInterval = 150 * kMillisecond;
  // Interval between reports to a random gateway, and causes in each.
  static constexpr DurationUs kGossipInterval = kSecond;
  static constexpr std::size_t kMaxPerGossip = 4;
  // Suspects in one datagram, some 80 bytes each, so that it is not split into
  // packets that are lost one by one.
  static constexpr std::size_t kMaxPerDatagram = 12;
  // Causes that a gateway which has started is told, blocked ones first.
  static constexpr std::size_t kMaxToNewPeer = 16;
  // Delay until a failed read or write of the store is repeated.
  static constexpr DurationUs kRetryDelay = 500 * kMillisecond;
  // News that are still to be repeated; of more, the oldest are dropped.
  static constexpr std::size_t kMaxNews = 256;

  CrashExchange(CrashExchangeOutput* output, Random* random)
      : output_(output), random_(random) {}

  // The row that a cause is in. There are 256, so the table has a bound without
  // anyone who removes rows.
  static std::string RowKey(const CrashCause& cause);

  // To be told to all gateways.
  void OnNews(TimeUs now, CrashReport report);
  // What the store has to remember of the cause changed.
  void OnVerdict(const CrashCause& cause);
  // A gateway has started or was not known before.
  void OnNewPeer(const NodeId& peer);
  // Call it every 10 ms.
  void OnTick(TimeUs now);
  void OnWritten(TimeUs now, bool decided);
  void OnRead(TimeUs now, bool ok);
  bool has_read() const { return has_read_; }

 private:
  struct News {
    CrashReport report;
    TimeUs at = 0;
    int sends = 0;
  };

  void Gossip(TimeUs now);
  void SendTo(const NodeId& peer, const CrashReport& report);
  void SendNews(TimeUs now);
  void CallStore(TimeUs now);

  CrashExchangeOutput* const output_;
  Random* const random_;
  std::deque<News> news_;
  std::set<std::string> unwritten_;  // Keys of rows.
  std::string writing_;              // Key of the write in progress, if any.
  bool has_read_ = false;
  bool reading_ = false;
  std::size_t gossiped_ = 0;  // Causes told to random gateways so far.
  TimeUs next_gossip_at_ = 0;
  TimeUs next_read_at_ = 0;
  TimeUs next_write_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CRASHES_CRASH_EXCHANGE_H_
