// Finds out whether a process listens at an address, by a connection that is
// closed at once.
#ifndef ACACIACHUTE_SRC_TRANSPORT_CONNECT_PROBES_H_
#define ACACIACHUTE_SRC_TRANSPORT_CONNECT_PROBES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "coordination/crashes/broken_attempts.h"
#include "transport/loop.h"
#include "types.h"

namespace acaciachute {

class ConnectProbes {
 public:
  explicit ConnectProbes(Loop* loop);
  ~ConnectProbes();
  ConnectProbes(const ConnectProbes&) = delete;
  ConnectProbes& operator=(const ConnectProbes&) = delete;

  // `done` is called once, from the loop; `kUnknown` if nothing is known after
  // `timeout`.
  void Start(const Address& address,
             DurationUs timeout,
             std::function<void(ProbeOutcome)> done);

 private:
  class Probe;

  Loop* const loop_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Probe>> probes_;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_CONNECT_PROBES_H_
