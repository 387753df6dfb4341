// The platform table's HTTP bodies (docs/PLATFORM.md gives the protocol).
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

// `http_status` zero stands for a connection that could not be made. Whatever
// cannot be read is `kUnknown`: only a clear answer proves that nothing landed.
StoreAnswer DecodeStoreAnswer(int http_status, std::string_view body);

// The body of GET /v1/hosts; lines that cannot be read are passed over.
std::vector<HostHint> DecodeHostList(std::string_view body);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_PLATFORM_CODEC_H_
