// String helpers. They replace Abseil's, which take `absl::string_view`: in
// Debian's build of Abseil that is a different type from `std::string_view`.
#ifndef ACACIACHUTE_SRC_TEXT_H_
#define ACACIACHUTE_SRC_TEXT_H_

#include <charconv>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace acaciachute {
namespace detail {

template <typename T>
void AppendTo(std::string* out, const T& value) {
  if constexpr (std::is_arithmetic_v<T>) {
    *out += std::to_string(value);
  } else {
    *out += std::string_view(value);
  }
}

}  // namespace detail

// Concatenates strings and numbers.
template <typename... Parts>
std::string StrCat(const Parts&... parts) {
  std::string out;
  (detail::AppendTo(&out, parts), ...);
  return out;
}

inline std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  for (auto end = text.find(separator); end != std::string_view::npos;
       end = text.find(separator)) {
    parts.emplace_back(text.substr(0, end));
    text.remove_prefix(end + 1);
  }
  parts.emplace_back(text);
  return parts;
}

// Removes `prefix` from the start of `text`. Returns whether it was there.
inline bool ConsumePrefix(std::string_view* text, std::string_view prefix) {
  if (!text->starts_with(prefix)) {
    return false;
  }
  text->remove_prefix(prefix.size());
  return true;
}

inline bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

// Returns `text` without leading and trailing spaces and tabs.
inline std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// Parses `text` as a decimal number. Returns nullopt unless all of it is one.
template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value = 0;
  const char* last = text.data() + text.size();
  const auto end = std::from_chars(text.data(), last, value);
  if (text.empty() || end.ec != std::errc() || end.ptr != last) {
    return std::nullopt;
  }
  return value;
}

// Compares two strings, ignoring the case of ASCII letters.
inline bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  const auto lower = [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  };
  if (a.size() != b.size()) {
    return false;
  }
  for (std::size_t n = 0; n < a.size(); ++n) {
    if (lower(a[n]) != lower(b[n])) {
      return false;
    }
  }
  return true;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TEXT_H_
