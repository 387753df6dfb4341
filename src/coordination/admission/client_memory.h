// The one owner of the bytes that clients make this process hold, over all its
// listeners: what they sent and is not processed, bodies while their requests
// run, answers on their way, and what the kernel keeps while a connection is
// not read.
//
// Above the limit those give way that hold most for least progress: a client
// that stalls, or trickles, loses its place to one that just came and goes on.
// If the newcomer gave way instead, a crowd that is stuck would shut out all
// others for as long as it likes.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_CLIENT_MEMORY_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_CLIENT_MEMORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "types.h"

namespace acaciachute {

// How a connection gave way.
enum class GaveWay {
  kNothing,          // Nothing of it can be freed now.
  kRefused,          // Its request was refused before it was complete.
  kRequestRefused,   // Its request, which had not been sent on, was refused.
  kBodyReleased,     // The body that was kept for further attempts is gone.
  kPipelineDropped,  // What it sent behind its request is not read.
  kAnswerReset,      // It did not read its answer and was reset.
  kClosed,           // It was closed between requests.
};
inline constexpr std::array<std::string_view, 7> kGaveWayNames = {
    "nothing",          "refused",      "request_refused", "body_released",
    "pipeline_dropped", "answer_reset", "closed"};
constexpr std::string_view Name(GaveWay v) {
  return detail::NameIn(kGaveWayNames, v);
}

// One connection of a client.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  // Frees what it can. It may be deleted by this call.
  virtual GaveWay GiveWay() = 0;

 private:
  friend class ClientMemory;
  std::uint64_t key_ = 0;
  std::size_t held_ = 0;
  TimeUs progress_at_ = 0;
};

class ClientMemory {
 public:
  // Bytes received or sent that count as progress. Less is none: a client that
  // sends a byte at a time would else never give way.
  static constexpr std::size_t kProgressBytes = 16 << 10;

  struct Relief {
    GaveWay how = GaveWay::kNothing;
    std::size_t held = 0;  // By the holder, before.
    DurationUs stalled = 0;
    std::size_t sum = 0;  // Held by all, after.
    std::size_t limit = 0;
  };

  explicit ClientMemory(std::size_t limit) : limit_(limit) {}
  ClientMemory(const ClientMemory&) = delete;
  ClientMemory& operator=(const ClientMemory&) = delete;

  void SetLimit(std::size_t limit) { limit_ = limit; }
  // `handle` is called with each holder that gave way.
  void SetReliefHandler(std::function<void(const Relief&)> handle) {
    on_relief_ = std::move(handle);
  }
  // `ask` is called once when the sum passes the limit, and is to call
  // `Relieve` soon, from the loop.
  void SetShortHandler(std::function<void()> ask) { ask_ = std::move(ask); }

  void Add(MemoryHolder* holder, TimeUs now);
  void Remove(MemoryHolder* holder);
  void SetHeld(MemoryHolder* holder, std::size_t bytes);
  // The holder made progress, or began something new.
  static void OnProgress(MemoryHolder* holder, TimeUs now) {
    holder->progress_at_ = now;
  }
  static DurationUs Stalled(const MemoryHolder& holder, TimeUs now) {
    return now - holder.progress_at_;
  }

  bool IsShort() const { return held_ > limit_; }
  // Makes holders give way until the sum is well below the limit. Must not be
  // called while a holder is inside a call of its handler.
  void Relieve(TimeUs now);

  std::size_t held() const { return held_; }
  std::size_t limit() const { return limit_; }

 private:
  std::size_t limit_;
  std::size_t held_ = 0;
  std::uint64_t next_key_ = 1;
  bool asked_ = false;
  absl::flat_hash_map<std::uint64_t, MemoryHolder*> holders_;
  std::function<void(const Relief&)> on_relief_;
  std::function<void()> ask_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_CLIENT_MEMORY_H_
