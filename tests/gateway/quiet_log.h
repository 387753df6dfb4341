// An event log that records only the names of the events, and shows them to the
// test.
#ifndef ACACIACHUTE_TESTS_GATEWAY_QUIET_LOG_H_
#define ACACIACHUTE_TESTS_GATEWAY_QUIET_LOG_H_

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "state/event_log.h"

namespace acaciachute {

struct QuietLog : EventLog {
  void Write(std::string_view event, LogFields fields) override {
    events.emplace_back(event);
    if (on_event) {
      on_event(event, fields);
    }
  }
  bool Saw(std::string_view event) const {
    return std::find(events.begin(), events.end(), event) != events.end();
  }
  std::vector<std::string> events;
  std::function<void(std::string_view, LogFields)> on_event;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_GATEWAY_QUIET_LOG_H_
