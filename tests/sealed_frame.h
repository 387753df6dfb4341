// Repairs a frame whose bytes a test has changed: sets the length and the HMAC,
// so that the frame passes the checks that precede the parsing of its message.
#ifndef ACACIACHUTE_TESTS_SEALED_FRAME_H_
#define ACACIACHUTE_TESTS_SEALED_FRAME_H_

#include <glib.h>

#include <array>
#include <string>
#include <string_view>

namespace acaciachute {

// Returns `frame` with its length in the prefix set and its last 32 bytes
// replaced by the HMAC.
inline std::string SealedFrame(std::string frame, std::string_view key) {
  constexpr std::size_t kHmacBytes = 32;
  constexpr std::size_t kPrefixBytes = 8;
  constexpr unsigned kBitsPerByte = 8;
  if (frame.size() < kPrefixBytes + kHmacBytes) {
    return frame;
  }
  std::size_t size = frame.size();
  for (std::size_t n = kPrefixBytes; n > kPrefixBytes / 2; --n) {
    frame[n - 1] = static_cast<char>(size);
    size >>= kBitsPerByte;
  }
  frame.resize(frame.size() - kHmacBytes);
  GHmac* hmac =
      g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()),
                 key.size());
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(frame.data()),
                static_cast<gssize>(frame.size()));
  std::array<guint8, kHmacBytes> digest{};
  gsize n = digest.size();
  g_hmac_get_digest(hmac, digest.data(), &n);
  g_hmac_unref(hmac);
  frame.append(reinterpret_cast<const char*>(digest.data()), digest.size());
  return frame;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SEALED_FRAME_H_
