// A gateway process on the platform: connects the decision core `Gateway` to
// sockets, the platform's store and timers.
#ifndef ACACIACHUTE_SRC_DAEMON_GATEWAY_NODE_H_
#define ACACIACHUTE_SRC_DAEMON_GATEWAY_NODE_H_

#include <memory>

#include "absl/status/status.h"
#include "state/host_settings.h"
#include "transport/loop.h"

namespace acaciachute {

class GatewayNode {
 public:
  GatewayNode(const HostSettings& settings, Loop* loop);
  ~GatewayNode();
  GatewayNode(const GatewayNode&) = delete;
  GatewayNode& operator=(const GatewayNode&) = delete;

  absl::Status Start();
  // Reports not ready at once. Ends the loop when no request is in progress and
  // the balancer has had time to take this host out.
  void Drain();
  // Reads the settings again and applies those that have changed.
  void Reload();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_DAEMON_GATEWAY_NODE_H_
