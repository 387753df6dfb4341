// A sidecar process: connects the decision core `Sidecar` to sockets and to its
// upstream.
#ifndef ACACIACHUTE_SRC_DAEMON_SIDECAR_NODE_H_
#define ACACIACHUTE_SRC_DAEMON_SIDECAR_NODE_H_

#include <memory>

#include "absl/status/status.h"
#include "protocol/node_settings.h"
#include "transport/loop.h"

namespace acaciachute {

class SidecarNode {
 public:
  SidecarNode(const NodeSettings& settings, Loop* loop);
  ~SidecarNode();
  SidecarNode(const SidecarNode&) = delete;
  SidecarNode& operator=(const SidecarNode&) = delete;

  absl::Status Start();
  // Refuses new work at once, and ends the loop when no work is in progress.
  void Drain();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_DAEMON_SIDECAR_NODE_H_
