#include "ctl/retry_windows.h"

#include <algorithm>
#include <utility>

#include "ctl/log_lines.h"

namespace acaciachute {

void RetryReader::AddLine(const nlohmann::json& line) {
  if (TextOf(line, "event") != "retry") {
    return;
  }
  Line it;
  it.time = NumberOf(line, "at_us");
  it.gateway = TextOf(line, "node");
  it.reason = TextOf(line, "reason");
  it.sent = TextOf(line, "outcome") != "refused";
  it.count = static_cast<std::uint64_t>(NumberOf(line, "count", 1));
  it.gateways = static_cast<std::uint64_t>(NumberOf(line, "gateways"));
  lines_[TextOf(line, "service")].push_back(std::move(it));
}

std::vector<RetryReader::Line> RetryReader::WorstWindow(
    std::vector<Line> lines) const {
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const Line& a, const Line& b) { return a.time < b.time; });
  std::size_t first = 0;
  std::size_t worst_first = 0;
  std::size_t worst_last = 0;
  std::uint64_t sent = 0;
  std::uint64_t most = 0;
  for (std::size_t last = 0; last < lines.size(); ++last) {
    sent += lines[last].sent ? lines[last].count : 0;
    for (; lines[first].time < lines[last].time - window_; ++first) {
      sent -= lines[first].sent ? lines[first].count : 0;
    }
    if (sent > most || last == 0) {
      most = sent;
      worst_first = first;
      worst_last = last;
    }
  }
  const auto begin = lines.begin();
  return {begin + static_cast<std::ptrdiff_t>(worst_first),
          begin + static_cast<std::ptrdiff_t>(worst_last + 1)};
}

std::vector<RetryShare> RetryReader::WorstWindows() const {
  using GatewayAndReason = std::pair<std::string, std::string>;
  std::vector<RetryShare> shares;
  for (const auto& [service, lines] : lines_) {
    const std::vector<Line> worst = WorstWindow(lines);
    std::map<GatewayAndReason, RetryShare> by_gateway;
    std::uint64_t in_window = 0;
    for (const Line& it : worst) {
      const auto [share, inserted] =
          by_gateway.try_emplace({it.gateway, it.reason});
      share->second.gateways =
          inserted ? it.gateways
                   : std::min(share->second.gateways, it.gateways);
      (it.sent ? share->second.sent : share->second.refused) += it.count;
      in_window += it.sent ? it.count : 0;
    }
    const std::size_t before = shares.size();
    for (auto& [key, share] : by_gateway) {
      share.service = service;
      share.window_end = worst.back().time;
      share.in_window = in_window;
      share.gateway = key.first;
      share.reason = key.second;
      shares.push_back(std::move(share));
    }
    std::stable_sort(
        shares.begin() + static_cast<std::ptrdiff_t>(before), shares.end(),
        [](const auto& a, const auto& b) { return a.sent > b.sent; });
  }
  return shares;
}

}  // namespace acaciachute
