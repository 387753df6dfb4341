// A service and the software version of one of its replicas.
#ifndef ACACIACHUTE_SRC_STATE_SERVICE_VERSION_H_
#define ACACIACHUTE_SRC_STATE_SERVICE_VERSION_H_

#include <compare>
#include <string>

namespace acaciachute {

struct ServiceVersion {
  std::string service;
  std::string version;  // As the replica's row names it.

  auto operator<=>(const ServiceVersion&) const = default;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_SERVICE_VERSION_H_
