// Discovery of the other gateways: each gateway writes its address into a table
// of the platform's store when it starts, and reads the addresses of the others
// from it.
//
// A gateway writes before it reads, so of two gateways that start together at
// least one finds the other, which then learns of it from its heartbeats. The
// same table holds the key that frames between gateways carry; the first
// gateway draws the key and writes it on the condition that there is none yet.
//
// If the store cannot be reached at that time, the gateway works alone, with
// smaller batches, and retries until it succeeds.
#ifndef ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_GATEWAY_JOIN_H_
#define ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_GATEWAY_JOIN_H_

#include <optional>
#include <string>
#include <string_view>

#include "coordination/tables/table_watch.h"
#include "state/event_log.h"
#include "state/random.h"
#include "types.h"

namespace acaciachute {

class GatewayJoinOutput {
 public:
  virtual ~GatewayJoinOutput() = default;
  // `OnRows` is called with the result.
  virtual void ReadGateways() = 0;
  // `OnWritten` is called with the result. With `only_new` the row is written
  // only if the key does not exist.
  virtual void WriteGateway(const std::string& key,
                            const std::string& value,
                            bool only_new) = 0;
  virtual void OnGateway(const NodeId& node, const Address& address) = 0;
  // Called once, before the first `OnGateway`.
  virtual void OnFrameKey(const std::string& key) = 0;
};

class GatewayJoin {
 public:
  // Period of reading the table again after joining. It finds gateways again
  // after a network partition that lasted longer than
  // `GatewayPeers::kPeerRemovalTimeout`.
  static constexpr DurationUs kReadPeriod = 30 * kSecond;
  static constexpr DurationUs kRetryDelay = 500 * kMillisecond;
  // Time limit for the answer with the rows, after which they are requested
  // again.
  static constexpr DurationUs kReadTimeout = 700 * kMillisecond;

  GatewayJoin(NodeId self,
              Address address,
              GatewayJoinOutput* output,
              Random* random,
              EventLog* log);

  void OnTick(TimeUs now);
  // When the rows of the other gateways were first read; empty before.
  std::optional<TimeUs> joined_at() const { return joined_at_; }
  void OnRows(TimeUs now, const TableAnswer& answer);
  // `decided` says whether the store decided on the write; a write whose
  // condition was not met counts as decided.
  void OnWritten(TimeUs now, bool decided);

 private:
  enum class Step { kWriteSelf, kRead, kWriteKey };

  void BeginStep(TimeUs now, Step step);

  const NodeId self_;
  const Address address_;
  GatewayJoinOutput* const output_;
  Random* const random_;
  EventLog* const log_;
  Step step_ = Step::kWriteSelf;
  bool awaiting_store_ = false;  // A request to the store is in progress.
  TimeUs next_step_at_ = 0;
  bool has_frame_key_ = false;
  std::optional<TimeUs> joined_at_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_GATEWAY_JOIN_H_
