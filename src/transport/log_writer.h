// Structured log lines on standard output, one JSON object each.
//
// Failure: whoever reads the lines stalls, or a flood of refusals writes more
// than can be read. Symptom: the process blocks in a write and serves nobody.
// The descriptor never blocks, lines wait in a bounded buffer, each kind of
// line has a rate of its own, and what is dropped is counted by kind and told
// in a line once there is room.
#ifndef ACACIACHUTE_SRC_TRANSPORT_LOG_WRITER_H_
#define ACACIACHUTE_SRC_TRANSPORT_LOG_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "state/event_log.h"
#include "transport/loop.h"
#include "types.h"

namespace acaciachute {

class LogWriter : public EventLog {
 public:
  // About 800 lines.
  static constexpr std::size_t kMostBytes = 256 << 10;
  // Of one kind in a second: above the rate of requests at one entry today, so
  // that only floods are cut.
  static constexpr std::uint32_t kMostPerSecond = 300;
  // Of the kinds that tell of another host or replica. One that starts or ends
  // is a line in the log of every host: with a hundred hosts and 300 replicas
  // these were six lines in ten, and hosts with a tenth of a core paid for them
  // when they were busiest. What exceeds this is counted; some host has it.
  static constexpr std::uint32_t kMostOfFleetPerSecond = 30;
  static constexpr DurationUs kFlush = 50 * kMillisecond;

  // Writes to `descriptor`, which it makes non-blocking.
  LogWriter(int descriptor, NodeId node, Loop* loop);
  ~LogWriter() override;

  void Write(std::string_view event, LogFields fields) override;
  // As much as the descriptor takes now.
  void Flush();
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Rate {
    std::uint32_t most = kMostPerSecond;
    TimeUs second = 0;
    std::uint32_t lines = 0;
    std::uint64_t dropped = 0;  // Not told yet.
  };

  void Append(std::string_view event, LogFields fields);
  void TellDropped();

  const int descriptor_;
  const NodeId node_;
  Loop* const loop_;
  Loop::TimerId timer_ = 0;
  std::string buffer_;
  std::map<std::string, Rate, std::less<>> rates_;
  std::uint64_t dropped_ = 0;
  bool untold_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_LOG_WRITER_H_
