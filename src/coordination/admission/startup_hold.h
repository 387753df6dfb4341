// Holds the requests that reach a gateway before it knows its configuration and
// the replicas.
//
// When all gateways are killed together, clients connect to the new processes
// at once, some tenths of a second before these have read the store's tables.
// If they were refused, all of them would come back together a second later,
// most of them too late for their targets. A request is held for a small share
// of its time only; after that its client had better try another gateway.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_STARTUP_HOLD_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_STARTUP_HOLD_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "state/client_request.h"
#include "types.h"

namespace acaciachute {

// A request that is held until the gateway knows its tables.
struct HeldRequest {
  ExchangeId exchange = 0;
  ClientRequest call;
  TimeUs arrived_at = 0;
  TimeUs expires_at = 0;
};

class StartupHold {
 public:
  // Limits on the time that a request is held: this share of its deadline and,
  // for long deadlines, the time after which the store is most likely away.
  static constexpr DurationUs kDeadlineDivisor = 8;
  static constexpr DurationUs kMaxHold = kSecond;
  // Limits on the memory of held requests.
  static constexpr std::size_t kMaxRequests = 1000;
  static constexpr std::size_t kMaxBodyBytes = 4 << 20;

  // Holds the request. Returns false and leaves `call` as it is if there is no
  // place or no time for it.
  bool Add(TimeUs now, ExchangeId exchange, ClientRequest* call) {
    const DurationUs time =
        std::min(kMaxHold, call->deadline / kDeadlineDivisor);
    if (time <= 0 || held_.size() >= kMaxRequests ||
        body_bytes_ + call->body.size() > kMaxBodyBytes) {
      return false;
    }
    body_bytes_ += call->body.size();
    held_[exchange] = {exchange, std::move(*call), now, now + time};
    return true;
  }
  // The client disconnected. Returns whether its request was held.
  bool Remove(ExchangeId exchange) {
    const auto it = held_.find(exchange);
    if (it == held_.end()) {
      return false;
    }
    body_bytes_ -= it->second.call.body.size();
    held_.erase(it);
    return true;
  }
  // Removes and returns the requests that were held for as long as they may be,
  // in order of arrival.
  std::vector<HeldRequest> TakeExpired(TimeUs now) {
    return TakeWhere(
        [now](const HeldRequest& it) { return now >= it.expires_at; });
  }
  std::vector<HeldRequest> TakeAll() {
    return TakeWhere([](const HeldRequest&) { return true; });
  }
  std::size_t size() const { return held_.size(); }

 private:
  template <class Predicate>
  std::vector<HeldRequest> TakeWhere(const Predicate& matches) {
    std::vector<HeldRequest> taken;
    for (auto it = held_.begin(); it != held_.end();) {
      if (!matches(it->second)) {
        ++it;
        continue;
      }
      body_bytes_ -= it->second.call.body.size();
      taken.push_back(std::move(it->second));
      it = held_.erase(it);
    }
    return taken;
  }

  std::map<ExchangeId, HeldRequest> held_;  // Ids grow with each request.
  std::size_t body_bytes_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_STARTUP_HOLD_H_
