// Frames between the system's own processes: a header with version, length,
// sender and sequence, the message, and a keyed hash over all of it.
#ifndef ACACIACHUTE_SRC_PROTOCOL_FRAME_H_
#define ACACIACHUTE_SRC_PROTOCOL_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "messages.h"
#include "types.h"

namespace acaciachute {

// Larger than any body that a caller may send, with room for the header.
inline constexpr std::size_t kMaxFrameSize = 4 << 20;
// Bytes that tell a frame's whole size.
inline constexpr std::size_t kFramePrefixSize = 8;

struct Envelope {
  NodeId sender;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;  // Grows with each frame of one incarnation.
  Message message;
};

// `key` is the secret that all nodes of a deployment share.
std::string EncodeFrame(const Envelope& envelope, std::string_view key);

// Size of the frame that starts with `prefix` (`kFramePrefixSize` bytes), or
// the reason why it is none: wrong magic, version or length.
absl::StatusOr<std::size_t> FrameSize(std::string_view prefix);

// Checks length, version and hash before it reads anything else.
absl::StatusOr<Envelope> DecodeFrame(std::string_view frame,
                                     std::string_view key);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_FRAME_H_
