// Encodes and decodes the frames that this system's processes exchange: a
// prefix with format version and length, the sender and its sequence number,
// the message, and an HMAC over all of it.
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

// Maximum frame size. Leaves space for the largest body that a caller may send
// plus the other fields of a message.
inline constexpr std::size_t kMaxFrameSize = 4 << 20;
// Size of the prefix, which contains the format version and the frame's length.
inline constexpr std::size_t kFramePrefixSize = 8;

struct Envelope {
  NodeId sender;
  Incarnation incarnation = 0;
  // Increases with each frame that one incarnation sends.
  std::uint64_t sequence = 0;
  Message message;
};

// `key` is the secret that all nodes of a deployment share.
std::string EncodeFrame(const Envelope& envelope, std::string_view key);

// Returns the size of the frame that starts with `prefix` (`kFramePrefixSize`
// bytes), or an error for a wrong magic number, version or length.
absl::StatusOr<std::size_t> FrameSize(std::string_view prefix);

// Checks version, length and HMAC before it parses anything else.
absl::StatusOr<Envelope> DecodeFrame(std::string_view frame,
                                     std::string_view key);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_FRAME_H_
