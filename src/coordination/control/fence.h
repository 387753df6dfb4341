// Checks control orders to an upstream: only orders of the current lease holder
// are forwarded.
//
// If a holder is suspended beyond its lease and another entry takes over, the
// first resumes in the middle of an order with an outdated view that it still
// holds the lease, and would move the upstream back to an old model. So each
// order carries its holder's fencing number. Some upstreams ignore the number,
// and this process may have been replaced since the last number was received;
// so before an order is forwarded, the number in force is read from the lease's
// row. The entry that superseded the sender had to write that row first, so the
// read shows it. Orders are rare (a thousand changes a day in the whole
// system), so one read per order is cheap. While the table is down no lease can
// be held either, and no order is forwarded.
//
// An order id is executed once, and its outcome is returned for each
// repetition. An order names the sidecar's incarnation, so that a late copy for
// a previous incarnation is refused. A process that has just started does not
// know which ids its predecessor forwarded under the number in force; unless
// the upstream itself remembers ids, it requires a newer number, which costs
// the holder one write.
#ifndef ACACIACHUTE_SRC_COORDINATION_CONTROL_FENCE_H_
#define ACACIACHUTE_SRC_COORDINATION_CONTROL_FENCE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "messages.h"
#include "state/metrics.h"
#include "types.h"

namespace acaciachute {

class FenceOutput {
 public:
  virtual ~FenceOutput() = default;
  // Reads the lease's row; `OnLease` receives the answer with `ticket`.
  virtual void ReadLease(std::uint64_t ticket) = 0;
  // Reads the number stored by the upstream; `OnUpstreamFence` receives it.
  virtual void ReadUpstreamFence() = 0;
  virtual void ForwardOrder(const ControlOrder& order) = 0;
  virtual void AnswerOrder(const NodeId& holder,
                           const ControlOrderResult& result) = 0;
};

// Result of an order at the upstream.
enum class OrderOutcome {
  kDone,
  kRefused,  // The upstream has stored a larger number.
  kNotSent,  // The order did not reach the upstream and may be sent again.
  kUnknown   // The order may have been executed.
};

class FenceGuard {
 public:
  // Maximum age of a read of the row; an older one may have been superseded
  // while this process was suspended, and is repeated. A read takes some
  // milliseconds.
  static constexpr DurationUs kMaxLeaseReadAge = 500 * kMillisecond;
  static constexpr std::size_t kMaxWaitingOrders = 16;
  // Maximum number of outcomes kept under one number. A larger number clears
  // them, because orders under an older one are refused; at the limit, orders
  // are refused until there is a new number.
  static constexpr std::size_t kMaxOutcomes = 1024;

  FenceGuard(Incarnation incarnation, FenceOutput* output, Metrics* metrics);

  // Reads the numbers in force; orders wait until they are known.
  void Start(TimeUs now);
  void OnOrder(TimeUs now, const NodeId& from, const ControlOrder& order);
  // `number` is empty if the row could not be read, and zero if the lease was
  // never held.
  void OnLease(TimeUs now,
               std::uint64_t ticket,
               std::optional<FenceNumber> number);
  // `keeps_numbers`: the upstream checks fencing numbers and remembers order
  // ids.
  void OnUpstreamFence(bool keeps_numbers, FenceNumber number);
  void OnOutcome(TimeUs now,
                 const std::string& order_id,
                 OrderOutcome outcome,
                 FenceNumber number);

  FenceNumber in_force() const { return fence_in_force_; }

 private:
  struct WaitingOrder {
    NodeId holder;
    ControlOrder order;
  };
  Refusal Check(const ControlOrder& order) const;
  void ReadLease(TimeUs now);
  void Answer(const NodeId& holder,
              const std::string& order_id,
              Refusal reason);
  void AnswerFirst(TimeUs now, Refusal reason);
  void RaiseFence(FenceNumber number);

  const Incarnation incarnation_;
  FenceOutput* const output_;
  Metrics* const metrics_;
  FenceNumber fence_in_force_ = 0;
  // Number in force when this process started.
  std::optional<FenceNumber> fence_at_start_;
  bool upstream_known_ = false;
  bool upstream_keeps_numbers_ = false;
  // The first order is being checked or is in progress at the upstream.
  std::deque<WaitingOrder> waiting_;
  bool order_in_progress_ = false;
  std::uint64_t lease_ticket_ = 0;
  bool lease_read_pending_ = false;
  TimeUs lease_read_at_ = 0;
  // Outcomes under the number in force, by order id.
  std::map<std::string, Refusal> outcomes_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CONTROL_FENCE_H_
