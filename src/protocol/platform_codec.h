// Encodes and decodes the HTTP bodies of the platform's table (docs/PLATFORM.md
// specifies the protocol).
#ifndef ACACIACHUTE_SRC_PROTOCOL_PLATFORM_CODEC_H_
#define ACACIACHUTE_SRC_PROTOCOL_PLATFORM_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "coordination/membership/membership.h"
#include "state/store.h"

namespace acaciachute {

inline constexpr std::string_view kTransactPath = "/v1/table/transact";

std::string EncodeTransaction(const std::vector<StoreOp>& ops);

// `http_status` is zero if the connection could not be established. An answer
// that cannot be parsed has the status `kUnknown`, because only a clear answer
// proves that nothing was written.
StoreAnswer DecodeStoreAnswer(int http_status, std::string_view body);

// Parses the body of GET /v1/hosts. Malformed entries are skipped.
std::vector<HostHint> DecodeHostList(std::string_view body);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_PLATFORM_CODEC_H_
