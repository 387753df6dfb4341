// An entry process: connects the decision core `Entry` to sockets and timers.
#ifndef ACACIACHUTE_SRC_DAEMON_ENTRY_NODE_H_
#define ACACIACHUTE_SRC_DAEMON_ENTRY_NODE_H_

#include <memory>

#include "absl/status/status.h"
#include "protocol/node_settings.h"
#include "transport/loop.h"

namespace acaciachute {

class EntryNode {
 public:
  EntryNode(const NodeSettings& settings, Loop* loop);
  ~EntryNode();
  EntryNode(const EntryNode&) = delete;
  EntryNode& operator=(const EntryNode&) = delete;

  absl::Status Start();
  // Reports not ready at once, and ends the loop when no request is in
  // progress.
  void Drain();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_DAEMON_ENTRY_NODE_H_
