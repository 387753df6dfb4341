#include "transport/log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace acaciachute {
namespace {

constexpr std::array<std::string_view, 2> kFleetEvents = {"peer", "replica"};

}  // namespace

LogWriter::LogWriter(int descriptor, NodeId node, Loop* loop)
    : descriptor_(descriptor), node_(std::move(node)), loop_(loop) {
  const int flags = fcntl(descriptor_, F_GETFL);
  fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  timer_ = loop_->Every(kFlushPeriod, [this] { Flush(); });
}

LogWriter::~LogWriter() {
  loop_->Cancel(timer_);
  Flush();
}

void LogWriter::Write(std::string_view event, LogFields fields) {
  auto it = rates_.find(event);
  if (it == rates_.end()) {
    it = rates_.emplace(event, Rate{}).first;
    if (std::find(kFleetEvents.begin(), kFleetEvents.end(), event) !=
        kFleetEvents.end()) {
      it->second.max_lines = kMaxFleetLinesPerSecond;
    }
  }
  Rate& rate = it->second;
  const TimeUs second = Loop::Now() / kSecond;
  if (rate.second != second) {
    rate.second = second;
    rate.lines = 0;
  }
  if (++rate.lines > rate.max_lines || buffer_.size() > kMaxBufferBytes) {
    ++rate.dropped;
    ++dropped_;
    has_unreported_drops_ = true;
    return;
  }
  Append(event, fields);
}

void LogWriter::Append(std::string_view event, LogFields fields) {
  nlohmann::ordered_json line;
  line["at_us"] = Loop::WallClock();
  line["node"] = node_;
  line["event"] = event;
  for (const LogField& it : fields) {
    std::visit([&](const auto& value) { line[std::string(it.name)] = value; },
               it.value);
  }
  buffer_ += line.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
  buffer_ += '\n';
}

void LogWriter::LogDropped() {
  has_unreported_drops_ = false;
  for (auto& [event, rate] : rates_) {
    if (rate.dropped > 0) {
      Append("log_dropped", {{"of", event}, {"lines", rate.dropped}});
      rate.dropped = 0;
    }
  }
}

void LogWriter::Flush() {
  if (has_unreported_drops_ && buffer_.size() < kMaxBufferBytes / 2) {
    LogDropped();
  }
  while (!buffer_.empty()) {
    const ssize_t n = write(descriptor_, buffer_.data(), buffer_.size());
    if (n <= 0) {
      return;  // The descriptor is not writable; the next flush continues.
    }
    buffer_.erase(0, static_cast<std::size_t>(n));
  }
}

}  // namespace acaciachute
