#include "ctl/load_summary.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "ctl/log_lines.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

// Returns a count of the line, or zero if it is missing or negative.
std::uint32_t CountOf(const Json& line, const char* name) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, NumberOf(line, name)));
}

// Replaces numbers by "N", so that details that differ only in numbers count as
// the same cause. Single digits stay, because they number stages and attempts.
std::string WithoutNumbers(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789";
  std::string out;
  while (!text.empty()) {
    const std::size_t prefix =
        std::min(text.find_first_of(kDigits), text.size());
    out += text.substr(0, prefix);
    text.remove_prefix(prefix);
    const std::size_t digits =
        std::min(text.find_first_not_of(kDigits), text.size());
    out += digits > 1 ? std::string_view("N") : text.substr(0, digits);
    text.remove_prefix(digits);
  }
  return out;
}

std::string OutcomeOf(const Json& line) {
  std::string outcome = TextOf(line, "outcome");
  if (outcome != "answered") {
    return outcome;
  }
  const auto first = line.find("first_ms");
  const bool stream =
      first != line.end() && first->is_number() && first->get<double>() >= 0;
  const std::uint32_t until = CountOf(line, stream ? "first_ms" : "total_ms");
  return until <= CountOf(line, "target_ms") ? "in_time" : "late";
}

std::int64_t Quantile(std::vector<std::uint32_t> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto n =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(n);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

constexpr double kMedian = 0.5;
constexpr double kP99 = 0.99;

// Events that state why work was refused, lost or repeated.
constexpr std::array<std::string_view, 6> kCauseEvents = {
    "refused",      "gave_up",      "lost",
    "stages_again", "pieces_again", "piece_call_failed"};

}  // namespace

void LoadReader::AddLine(const Json& line) {
  const std::string event = TextOf(line, "event");
  if (event == "request") {
    AddRequest(line);
  } else if (event == "piece_call") {
    AddPieceCall(line);
  } else if (std::find(kCauseEvents.begin(), kCauseEvents.end(), event) !=
             kCauseEvents.end()) {
    AddCause(line);
  }
}

void LoadReader::AddRequest(const Json& line) {
  Group& group = groups_[{TextOf(line, "route"), TextOf(line, "admitted"),
                          OutcomeOf(line)}];
  group.total_ms.push_back(CountOf(line, "total_ms"));
  group.expected_ms.push_back(CountOf(line, "expected_wait_ms"));
}

void LoadReader::AddPieceCall(const Json& line) {
  Stage& stage = stages_[TextOf(line, "service")];
  ++stage.calls;
  stage.pieces += CountOf(line, "pieces");
  stage.most_waiting =
      std::max<std::size_t>(stage.most_waiting, CountOf(line, "left_waiting"));
  const auto it = line.find("slowness");
  stage.slowness += it != line.end() && it->is_number() ? it->get<double>() : 0;
}

void LoadReader::AddCause(const Json& line) {
  const std::string reason =
      line.contains("reason") ? TextOf(line, "reason") : "";
  const char* detail = line.contains("detail") ? "detail" : "why";
  ++causes_[{TextOf(line, "event"), reason,
             WithoutNumbers(TextOf(line, detail))}];
}

LoadSummary LoadReader::Summary() const {
  LoadSummary summary;
  for (const auto& [key, group] : groups_) {
    const auto& [route, admitted, outcome] = key;
    summary.rows.push_back({route, admitted, outcome, group.total_ms.size(),
                            Quantile(group.total_ms, kMedian),
                            Quantile(group.total_ms, kP99),
                            Quantile(group.expected_ms, kMedian)});
  }
  for (const auto& [key, times] : causes_) {
    const auto& [event, reason, detail] = key;
    summary.causes.push_back({event, reason, detail, times});
  }
  std::stable_sort(
      summary.causes.begin(), summary.causes.end(),
      [](const auto& a, const auto& b) { return a.times > b.times; });
  for (const auto& [service, stage] : stages_) {
    summary.stages.push_back(
        {service, stage.calls, stage.pieces, stage.most_waiting,
         stage.slowness / static_cast<double>(stage.calls)});
  }
  return summary;
}

}  // namespace acaciachute
