// Request of a caller to an entry, and the single final answer to it.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_CALLER_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_CALLER_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "text.h"
#include "types.h"

namespace acaciachute {

// Identifies the open connection of a caller at the transport.
using CallerHandle = std::uint64_t;

struct CallerRequest {
  CallerHandle handle = 0;
  std::string event;
  // Set instead of `event` for a call to a plain service.
  std::string service_pool;
  std::string service_path;
  std::string account;
  // Idempotency key; required if the request is not idempotent.
  std::string key;
  CallerClass caller_class = CallerClass::kPatient;
  bool idempotent = true;
  bool stream = false;
  // From arrival; zero means the maximum deadline of the event.
  DurationUs deadline = 0;
  // Time since arrival that the request spent queued in the event loop of this
  // process.
  DurationUs waited = 0;
  std::string body;
  std::string traceparent;
};

struct StageCost {
  std::string pool;
  // Upstream time, summed over all attempts that were answered.
  DurationUs service = 0;
  std::uint32_t attempts = 0;
};

// The single final answer to a caller.
struct CallerAnswer {
  Verdict verdict = Verdict::kNotRun;
  Refusal reason = Refusal::kNone;
  std::string detail;
  std::string body;
  DurationUs retry_after = 0;  // Zero: retrying later does not help.
  std::vector<StageCost> cost;
  std::string traceparent;
  std::string request_id;
  bool replayed = false;  // A stored answer, returned again.
};

// Formats a request id as in answers to callers and in logs.
inline std::string FormatRequestId(const RequestId& id) {
  return StrCat(id.origin, "-", id.sequence);
}

// Retry delay sent to callers while there is no estimate from the overload
// signal.
inline constexpr DurationUs kDefaultRetryAfter = kSecond;

// Detail of a refusal of a request with a key before the key's row was read: an
// earlier copy may have run, and a retry is safe only under the same key.
inline constexpr char kThisCopyNotRun[] =
    "this copy of the request was not run; retry it under the same key";

inline CallerAnswer MakeRefusal(Verdict verdict,
                                Refusal reason,
                                std::string detail = "",
                                DurationUs retry_after = kDefaultRetryAfter) {
  CallerAnswer answer;
  answer.verdict = verdict;
  answer.reason = reason;
  answer.detail = std::move(detail);
  answer.retry_after = Info(reason).retryable ? retry_after : 0;
  return answer;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_CALLER_H_
