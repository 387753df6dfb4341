// Knows of each service which software versions its replicas had lately.
//
// While a service has had one version only since before a stream can have
// begun, the stream has that version, whoever began it.
#ifndef ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_VERSIONS_H_
#define ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_VERSIONS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "types.h"

namespace acaciachute {

class ServiceVersions {
 public:
  // Longest window that can be asked for; what was seen before it is forgotten.
  static constexpr DurationUs kMaxWindow = 600 * kSecond;

  // A replica of the service that accepts work has the version. Called for all
  // of them each `kScanPeriod`, and for each one that a request is sent to.
  static constexpr DurationUs kScanPeriod = 500 * kMillisecond;
  void OnSeen(TimeUs now, std::string_view service, std::string_view version) {
    Service& it = services_.try_emplace(std::string(service), Service{now, {}})
                      .first->second;
    it.seen_at[std::string(version)] = now;
    std::erase_if(it.seen_at, [now](const auto& version_seen) {
      return now - version_seen.second > kMaxWindow;
    });
  }
  // The only version within the last `window`; empty if there were several, or
  // if the service was not known for so long.
  std::optional<std::string> OnlyVersion(TimeUs now,
                                         const std::string& service,
                                         DurationUs window) const {
    const auto it = services_.find(service);
    if (it == services_.end() || now - it->second.known_since < window ||
        window > kMaxWindow) {
      return std::nullopt;
    }
    std::optional<std::string> only;
    for (const auto& [version, seen_at] : it->second.seen_at) {
      if (now - seen_at > window) {
        continue;
      }
      if (only) {
        return std::nullopt;
      }
      only = version;
    }
    return only;
  }

 private:
  struct Service {
    TimeUs known_since = 0;
    std::map<std::string, TimeUs> seen_at;  // By version.
  };

  std::map<std::string, Service> services_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_GATEWAY_SERVICE_VERSIONS_H_
