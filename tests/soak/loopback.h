// Helpers of the stand-ins on loopback: addresses, queries and timers.
#ifndef ACACIACHUTE_TESTS_SOAK_LOOPBACK_H_
#define ACACIACHUTE_TESTS_SOAK_LOOPBACK_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "glog/logging.h"
#include "transport/loop.h"
#include "types.h"

namespace acaciachute {

// Returns a loopback address whose port is free.
Address FreeAddress();

// Returns the value of `name` in the query of `target`; empty when absent.
std::string QueryValue(const std::string& target, std::string_view name);

// Run `task` once after `delay`, or every `period`, while the owner of `alive`
// exists. All tests of a process share one loop, so a timer that outlived its
// owner would run in a later test.
void RunAfter(Loop* loop,
              DurationUs delay,
              const std::weak_ptr<int>& alive,
              std::function<void()> task);
void RunEvery(Loop* loop,
              DurationUs period,
              const std::weak_ptr<int>& alive,
              std::function<void()> task);

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_LOOPBACK_H_
