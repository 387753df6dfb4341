// How a gateway finds the others: each writes its address into a table of the
// platform's store when it starts, and reads those of the others.
//
// Writing comes before reading, so of two that start together at least one
// reads the other, and its heartbeats tell the other of it. The key that frames
// between gateways carry lies in the same table; the first gateway ever draws
// it and writes it on the condition that there is none.
//
// Failure: the store is away at that moment. Symptom: a gateway that works
// alone, with smaller batches; it tries again until it succeeds.
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
  // `OnRows` follows.
  virtual void ReadGateways() = 0;
  // `OnWritten` follows.
  virtual void WriteGateway(const std::string& key,
                            const std::string& value,
                            bool only_new) = 0;
  virtual void OnGateway(const NodeId& node, const Address& address) = 0;
  // Once, before the first `OnGateway`.
  virtual void OnFrameKey(const std::string& key) = 0;
};

class GatewayJoin {
 public:
  // Found again after a cut that outlasted `GatewayPeers::kForget`.
  static constexpr DurationUs kReadAgain = 30 * kSecond;
  static constexpr DurationUs kRetry = 500 * kMillisecond;
  // Within which the rows are answered, or they are asked for again.
  static constexpr DurationUs kReadTimeout = 700 * kMillisecond;

  GatewayJoin(NodeId self,
              Address address,
              GatewayJoinOutput* output,
              Random* random,
              EventLog* log);

  void OnTick(TimeUs now);
  // When the others' rows were first read; none: not yet.
  std::optional<TimeUs> joined_at() const { return joined_at_; }
  void OnRows(TimeUs now, const TableAnswer& answer);
  // Whether the store took a decision; a condition that did not hold is one.
  void OnWritten(TimeUs now, bool decided);

 private:
  enum class Step { kWriteSelf, kRead, kWriteKey };

  void Go(TimeUs now, Step step);

  const NodeId self_;
  const Address address_;
  GatewayJoinOutput* const output_;
  Random* const random_;
  EventLog* const log_;
  Step step_ = Step::kWriteSelf;
  bool waiting_ = false;  // For the store.
  TimeUs next_at_ = 0;
  bool have_key_ = false;
  std::optional<TimeUs> joined_at_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_MEMBERSHIP_GATEWAY_JOIN_H_
