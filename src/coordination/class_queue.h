// Waiting stage calls of one sidecar, urgent before patient.
//
// Load pattern: a burst of patient work arrives before urgent work. Without
// classes an urgent call waits behind all of it (head-of-line blocking).
#ifndef ACACIACHUTE_SRC_COORDINATION_CLASS_QUEUE_H_
#define ACACIACHUTE_SRC_COORDINATION_CLASS_QUEUE_H_

#include <array>
#include <deque>
#include <optional>

#include "types.h"

namespace acaciachute {

class ClassQueue {
 public:
  void Push(CallerClass caller_class, const StageKey& key) {
    queues_[static_cast<std::size_t>(caller_class)].push_back(key);
  }

  std::optional<StageKey> Pop() {
    for (auto& queue : queues_) {
      if (!queue.empty()) {
        const StageKey key = queue.front();
        queue.pop_front();
        return key;
      }
    }
    return std::nullopt;
  }

  void Remove(const StageKey& key) {
    for (auto& queue : queues_) {
      std::erase(queue, key);
    }
  }

  std::size_t size() const { return queues_[0].size() + queues_[1].size(); }

 private:
  std::array<std::deque<StageKey>, 2> queues_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CLASS_QUEUE_H_
