// Structured log: one line for each decision and each change of state.
#ifndef ACACIACHUTE_SRC_STATE_EVENT_LOG_H_
#define ACACIACHUTE_SRC_STATE_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string_view>
#include <variant>

namespace acaciachute {

struct LogField {
  using Value = std::variant<std::int64_t, double, bool, std::string_view>;

  template <std::integral T>
  LogField(std::string_view field_name, T field_value)
      : name(field_name), value(static_cast<std::int64_t>(field_value)) {}
  LogField(std::string_view field_name, bool field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, double field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, std::string_view field_value)
      : name(field_name), value(field_value) {}
  LogField(std::string_view field_name, const char* field_value)
      : name(field_name), value(std::string_view(field_value)) {}

  std::string_view name;
  Value value;
};
using LogFields = std::initializer_list<LogField>;

class EventLog {
 public:
  virtual ~EventLog() = default;
  // Must not block. `event` is the name of the event, such as "refused".
  virtual void Write(std::string_view event, LogFields fields) = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_EVENT_LOG_H_
