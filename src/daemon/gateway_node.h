// A gateway process on the platform: the core `Gateway` between sockets, the
// platform's store and timers.
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
  // Not ready at once; ends the loop when nothing is in progress and the
  // balancer has had time to notice.
  void Drain();
  // The settings may have changed.
  void Reload();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_DAEMON_GATEWAY_NODE_H_
