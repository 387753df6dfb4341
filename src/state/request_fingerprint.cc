#include "state/request_fingerprint.h"

#include <glib.h>

#include <algorithm>

#include "text.h"

namespace acaciachute {
namespace {

constexpr std::size_t kDigits = 32;

// Adds the text and its length, so that different texts in sequence never add
// up to the same bytes.
void Add(GChecksum* sum, std::string_view text) {
  const std::string length = StrCat(text.size(), ":");
  g_checksum_update(sum, reinterpret_cast<const guchar*>(length.data()),
                    static_cast<gssize>(length.size()));
  g_checksum_update(sum, reinterpret_cast<const guchar*>(text.data()),
                    static_cast<gssize>(text.size()));
}

// Without a port and in lower case, as routes are found.
std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](char c) { return g_ascii_tolower(c); });
  return name;
}

std::string_view PathOf(const ClientRequest& call) {
  const std::string_view target = call.target;
  return target.substr(0, target.find('?'));
}

// `target`: its part that counts.
std::string FingerprintOf(std::string_view account,
                          const ClientRequest& call,
                          std::string_view target) {
  GChecksum* sum = g_checksum_new(G_CHECKSUM_SHA256);
  Add(sum, account);
  Add(sum, HostName(call.host));
  Add(sum, call.method);
  Add(sum, target);
  Add(sum, call.body.view());
  std::string digits(g_checksum_get_string(sum), kDigits);
  g_checksum_free(sum);
  return digits;
}

}  // namespace

std::string RequestFingerprint(std::string_view account,
                               const ClientRequest& call) {
  return FingerprintOf(
      account, call,
      call.body.empty() ? std::string_view(call.target) : PathOf(call));
}

std::string PathFingerprint(std::string_view account,
                            const ClientRequest& call) {
  const std::string_view path = PathOf(call);
  return call.body.empty() && path.size() < call.target.size()
             ? FingerprintOf(account, call, path)
             : std::string();
}

}  // namespace acaciachute
