// Functions that processes of all roles call when they start.
#ifndef ACACIACHUTE_SRC_DAEMON_STARTUP_H_
#define ACACIACHUTE_SRC_DAEMON_STARTUP_H_

#include <cstdint>

#include "types.h"

namespace acaciachute {

// Returns a random seed from the operating system.
std::uint64_t RandomSeed();

// Has the allocator give long blocks back to the system when they are freed. By
// default it keeps them once one was freed, in a heap that small blocks between
// them keep large: after a burst of bodies a process held five times of what it
// counted.
void ReturnFreedMemory();

// Prints a JSON line with the bound ports on standard output, for callers that
// let the operating system choose the ports.
void PrintListening(const NodeId& node,
                    std::uint16_t frame_port,
                    std::uint16_t http_port);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_DAEMON_STARTUP_H_
