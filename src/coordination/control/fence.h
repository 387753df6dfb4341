// Control orders to an upstream: only the lease's present holder is obeyed.
//
// Failure: a holder is paused past its lease, another takes over, and the first
// wakes in the middle of an order, believing that it still holds the lease.
// Symptom: the upstream is moved back to an old model. Each order carries its
// holder's fencing number. Some upstreams ignore it, and this process may have
// been replaced since it last heard a number, so neither is relied on: before
// an order is passed, the number in force is read from the lease's row. Whoever
// superseded the sender had to write that row first, so the read tells. Orders
// are rare (a thousand changes a day in the whole system), so a read for each
// costs nothing; while the table is down no lease can be held either, and no
// order is passed.
//
// An order id is carried out once and its outcome given again. An order names
// the sidecar's incarnation, so that a late copy for a predecessor is refused.
// A process that has just started cannot know which ids its predecessor passed
// under the number in force; unless the upstream itself remembers ids, it wants
// a newer number, which costs the holder one write.
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
  // Reads the lease's row; `OnLease` brings the answer under `ticket`.
  virtual void ReadLease(std::uint64_t ticket) = 0;
  // Reads the upstream's own number; `OnUpstreamFence` brings the answer.
  virtual void ReadUpstreamFence() = 0;
  virtual void PassOrder(const ControlOrder& order) = 0;
  virtual void AnswerOrder(const NodeId& holder,
                           const ControlOrderResult& result) = 0;
};

// What became of an order at the upstream.
enum class OrderOutcome {
  kDone,
  kRefused,  // It knows a larger number.
  kNotSent,  // Nothing reached it; the order may be sent again.
  kUnknown   // It may have been carried out.
};

class FenceGuard {
 public:
  // A row read longer ago may have been superseded while this process was
  // paused; it is read again. A read takes some milliseconds.
  static constexpr DurationUs kReadMaxAge = 500 * kMillisecond;
  static constexpr std::size_t kMostWaiting = 16;
  // Outcomes kept under one number. With a larger number they go, as orders
  // under an older one are refused; beyond it orders wait for a new number.
  static constexpr std::size_t kMostOutcomes = 1024;

  FenceGuard(Incarnation incarnation, FenceOutput* output, Metrics* metrics);

  // Reads the numbers in force; orders wait for them.
  void Start(TimeUs now);
  void OnOrder(TimeUs now, const NodeId& from, const ControlOrder& order);
  // `number` is none when the row could not be read; zero: nobody holds it yet.
  void OnLease(TimeUs now,
               std::uint64_t ticket,
               std::optional<FenceNumber> number);
  // `keeps_numbers`: the upstream checks numbers and remembers order ids.
  void OnUpstreamFence(bool keeps_numbers, FenceNumber number);
  void OnOutcome(TimeUs now,
                 const std::string& order_id,
                 OrderOutcome outcome,
                 FenceNumber number);

  FenceNumber in_force() const { return in_force_; }

 private:
  struct Waiting {
    NodeId holder;
    ControlOrder order;
  };
  Refusal Check(const ControlOrder& order) const;
  void ReadLease(TimeUs now);
  void Answer(const NodeId& holder,
              const std::string& order_id,
              Refusal reason);
  void EndFirst(TimeUs now, Refusal reason);
  void Raise(FenceNumber number);

  const Incarnation incarnation_;
  FenceOutput* const output_;
  Metrics* const metrics_;
  FenceNumber in_force_ = 0;
  std::optional<FenceNumber> at_start_;  // In force when this process began.
  bool upstream_known_ = false;
  bool upstream_keeps_numbers_ = false;
  std::deque<Waiting> waiting_;  // The first is being looked at or passed.
  bool passing_ = false;
  std::uint64_t ticket_ = 0;
  bool reading_ = false;
  TimeUs read_at_ = 0;
  std::map<std::string, Refusal> outcomes_;  // Under the number in force.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CONTROL_FENCE_H_
