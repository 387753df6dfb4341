// What a caller asks of an entry and the one answer it receives.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_CALLER_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_CALLER_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "text.h"
#include "types.h"

namespace acaciachute {

// Names a caller's open connection to the transport.
using CallerHandle = std::uint64_t;

struct CallerRequest {
  CallerHandle handle = 0;
  std::string event;
  // In place of an event: one call of a plain service.
  std::string service_pool;
  std::string service_path;
  std::string account;
  std::string key;  // Idempotency key; required when not idempotent.
  CallerClass caller_class = CallerClass::kPatient;
  bool idempotent = true;
  bool stream = false;
  DurationUs deadline = 0;  // From arrival; zero takes the event's longest.
  DurationUs waited = 0;    // Since arrival, in this process's own loop.
  std::string body;
  std::string traceparent;
};

struct StageCost {
  std::string pool;
  DurationUs service = 0;  // Upstream time of all attempts that answered.
  std::uint32_t attempts = 0;
};

// The one final answer to a caller.
struct CallerAnswer {
  Verdict verdict = Verdict::kNotRun;
  Refusal reason = Refusal::kNone;
  std::string detail;
  std::string body;
  DurationUs retry_after = 0;  // Zero: a later try does not help.
  std::vector<StageCost> cost;
  std::string traceparent;
  std::string request_id;
  bool replayed = false;  // A stored answer given again.
};

// How callers and logs name a request.
inline std::string FormatRequestId(const RequestId& id) {
  return StrCat(id.origin, "-", id.sequence);
}

// Told to callers until the overload signal gives a better figure.
inline constexpr DurationUs kDefaultRetryAfter = kSecond;

// Detail of a refusal of a request with a key before its row was read: an
// earlier copy may have run, and only the same key is safe to repeat.
inline constexpr char kThisCopyNotRun[] =
    "this copy was not run; repeat it under the same key";

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
