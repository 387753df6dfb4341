// Writes structured log lines, one JSON object each, to standard output.
//
// If the reader of the log stalls, or a burst of refusals writes more than it
// can read, a blocking write would stop the process. So the descriptor is
// non-blocking, lines wait in a bounded buffer, the rate of each event is
// limited, and dropped lines are counted by event and reported in a log line
// once the buffer has space again.
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
  // Maximum size of the buffer; about 800 lines.
  static constexpr std::size_t kMaxBufferBytes = 256 << 10;
  // Maximum number of lines of one event per second. Above the request rate of
  // one entry, so that lines are dropped in bursts only.
  static constexpr std::uint32_t kMaxLinesPerSecond = 300;
  // As above, for the events that report a state change of another host or
  // replica. Every host logs each such change: with a hundred hosts and 300
  // replicas these were six lines in ten, and hosts with a tenth of a core
  // spent CPU time on them when they were busiest. Lines above the limit are
  // counted as dropped; the log of some other host has them.
  static constexpr std::uint32_t kMaxFleetLinesPerSecond = 30;
  static constexpr DurationUs kFlushPeriod = 50 * kMillisecond;

  // Writes to `descriptor`, which it makes non-blocking.
  LogWriter(int descriptor, NodeId node, Loop* loop);
  ~LogWriter() override;

  void Write(std::string_view event, LogFields fields) override;
  // Writes as much of the buffer as the descriptor accepts now.
  void Flush();
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Rate {
    std::uint32_t max_lines = kMaxLinesPerSecond;
    TimeUs second = 0;
    std::uint32_t lines = 0;
    std::uint64_t dropped = 0;  // Dropped lines not reported yet.
  };

  void Append(std::string_view event, LogFields fields);
  void LogDropped();

  const int descriptor_;
  const NodeId node_;
  Loop* const loop_;
  Loop::TimerId timer_ = 0;
  std::string buffer_;
  std::map<std::string, Rate, std::less<>> rates_;
  std::uint64_t dropped_ = 0;
  bool has_unreported_drops_ = false;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_LOG_WRITER_H_
