#include "protocol/bearer.h"

#include <glib.h>

#include "text.h"

namespace acaciachute {
namespace {

constexpr std::size_t kMaxTokenBytes = 512;

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  unsigned char diff = a.size() == b.size() ? 0 : 1;
  for (std::size_t n = 0; n < a.size(); ++n) {
    const char other = n < b.size() ? b[n] : '\0';
    diff |= static_cast<unsigned char>(a[n] ^ other);
  }
  return diff == 0;
}

}  // namespace

std::string TokenHash(std::string_view salt, std::string_view token) {
  const std::string text = StrCat(salt, token);
  gchar* hex = g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(text.data()),
      text.size());
  std::string out(hex);
  g_free(hex);
  return out;
}

std::string AccountOfToken(const Settings& settings, std::string_view token) {
  const auto dot = token.rfind('.');
  if (token.size() > kMaxTokenBytes || dot == std::string_view::npos) {
    return "";
  }
  const std::string_view name = token.substr(0, dot);
  const Account* account = settings.FindAccount(name);
  const std::string hash =
      TokenHash(account == nullptr ? "none" : account->token_salt, token);
  const bool matches = EqualInConstantTime(
      hash,
      account == nullptr ? std::string(hash.size(), '-') : account->token_hash);
  return matches && account != nullptr ? std::string(name) : "";
}

}  // namespace acaciachute
