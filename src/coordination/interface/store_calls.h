// Matches answers of the platform's table to the continuations of their calls.
//
// Each answer is delivered once: a second one under the same ticket, or one for
// a call of a previous incarnation, has no continuation and is dropped.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_STORE_CALLS_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_STORE_CALLS_H_

#include <functional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "state/store.h"
#include "types.h"

namespace acaciachute {

// Driver interface for calls to the table.
class StoreOutput {
 public:
  virtual ~StoreOutput() = default;
  virtual void CallStore(StoreTicket ticket, std::vector<StoreOp> ops) = 0;
};

class StoreCalls {
 public:
  using DoneFn = std::function<void(TimeUs now, const StoreAnswer& answer)>;

  explicit StoreCalls(StoreOutput* output) : output_(output) {}

  void Call(std::vector<StoreOp> ops, DoneFn done) {
    const StoreTicket ticket = next_ticket_++;
    pending_[ticket] = std::move(done);
    output_->CallStore(ticket, std::move(ops));
  }

  void OnAnswer(TimeUs now, StoreTicket ticket, const StoreAnswer& answer) {
    const auto it = pending_.find(ticket);
    if (it == pending_.end()) {
      return;
    }
    const DoneFn done = std::move(it->second);
    pending_.erase(it);
    done(now, answer);
  }

 private:
  StoreOutput* const output_;
  StoreTicket next_ticket_ = 1;
  absl::flat_hash_map<StoreTicket, DoneFn> pending_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_STORE_CALLS_H_
