// The sidecar's HTTP towards its upstream (docs/PLATFORM.md gives the
// protocol): stage calls, cancels and load reports.
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
  // The upstream's own fencing number. `known` is false when it did not answer,
  // `keeps` when it ignores numbers.
  void ReadFence(
      const std::function<void(bool known, bool keeps, FenceNumber)>& done);
  void ForwardOrder(const ControlOrder& order,
                    const std::function<void(OrderOutcome, FenceNumber)>& done);
  void AskReport(const std::function<void(const UpstreamReport&)>& done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_UPSTREAM_CLIENT_H_
