// Frames whose bytes a test has changed, with the length and the hash that make
// them pass the checks before the message is read.
#ifndef ACACIACHUTE_TESTS_SEALED_FRAME_H_
#define ACACIACHUTE_TESTS_SEALED_FRAME_H_

#include <glib.h>

#include <array>
#include <string>
#include <string_view>

namespace acaciachute {

// `frame` ends with a hash, which is replaced.
inline std::string SealedFrame(std::string frame, std::string_view key) {
  constexpr std::size_t kHash = 32;
  constexpr std::size_t kPrefix = 8;
  constexpr unsigned kByte = 8;
  if (frame.size() < kPrefix + kHash) {
    return frame;
  }
  std::size_t size = frame.size();
  for (std::size_t n = kPrefix; n > kPrefix / 2; --n) {
    frame[n - 1] = static_cast<char>(size);
    size >>= kByte;
  }
  frame.resize(frame.size() - kHash);
  GHmac* hmac =
      g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()),
                 key.size());
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(frame.data()),
                static_cast<gssize>(frame.size()));
  std::array<guint8, kHash> digest{};
  gsize n = digest.size();
  g_hmac_get_digest(hmac, digest.data(), &n);
  g_hmac_unref(hmac);
  frame.append(reinterpret_cast<const char*>(digest.data()), digest.size());
  return frame;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SEALED_FRAME_H_
