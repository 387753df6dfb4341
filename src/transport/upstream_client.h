// The sidecar's HTTP client for its upstream: stage calls, cancellations,
// control orders and load reports. docs/PLATFORM.md specifies the protocol.
#ifndef ACACIACHUTE_SRC_TRANSPORT_UPSTREAM_CLIENT_H_
#define ACACIACHUTE_SRC_TRANSPORT_UPSTREAM_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "coordination/control/fence.h"
#include "coordination/sidecar/sidecar.h"
#include "messages.h"
#include "types.h"

namespace acaciachute {

class UpstreamClient {
 public:
  struct Callbacks {
    std::function<void(UpstreamCallId, std::string body, bool last)> chunk;
    std::function<void(UpstreamCallId, UpstreamError)> error;
  };

  UpstreamClient(std::string url, Callbacks callbacks);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  void Call(UpstreamCallId id, const StageCall& call, DurationUs time_left);
  void Cancel(UpstreamCallId id);
  // Reads the fencing number that the upstream stores. `known` is false if it
  // did not answer; `enforces_fence` is false if it does not check fencing
  // numbers.
  void ReadFence(
      const std::function<void(bool known, bool enforces_fence, FenceNumber)>&
          done);
  void ForwardOrder(const ControlOrder& order,
                    const std::function<void(OrderOutcome, FenceNumber)>& done);
  void FetchReport(const std::function<void(const UpstreamReport&)>& done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_UPSTREAM_CLIENT_H_
