// Rows of the store with streams that clients may take up, as JSON.
#ifndef ACACIACHUTE_SRC_PROTOCOL_STREAM_ROW_CODEC_H_
#define ACACIACHUTE_SRC_PROTOCOL_STREAM_ROW_CODEC_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "coordination/streams/stream_recorder.h"

namespace acaciachute {

std::string StreamRowKey(const StreamRow& row);
// Times of day in Unix milliseconds, as no other clock outlasts all gateways. A
// clock that is wrong makes a stream be forgotten earlier or later; it changes
// no version.
std::string EncodeStreamRow(const StreamRow& row, std::int64_t unix_ms);
absl::StatusOr<StreamRow> DecodeStreamRow(const std::string& key,
                                          std::string_view text,
                                          std::int64_t unix_ms);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_STREAM_ROW_CODEC_H_
