// What both roles do when they start.
#ifndef ACACIACHUTE_SRC_DAEMON_STARTUP_H_
#define ACACIACHUTE_SRC_DAEMON_STARTUP_H_

#include <cstdint>

#include "types.h"

namespace acaciachute {

// A seed that differs between any two processes.
std::uint64_t FreshSeed();

// One JSON line on standard output with the ports that were bound, for whoever
// let the system choose them.
void PrintListening(const NodeId& node,
                    std::uint16_t frame_port,
                    std::uint16_t http_port);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_DAEMON_STARTUP_H_
