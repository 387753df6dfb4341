// What stand-ins on loopback share.
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

// An address on loopback that nobody listens on.
Address FreeAddress();

// The value of `name` in the query of a target; empty when there is none.
std::string QueryValue(const std::string& target, std::string_view name);

// Timers that end with their owner: the loop is the process's only one, so a
// timer that is left over would run in a later test.
void Later(Loop* loop,
           DurationUs delay,
           const std::weak_ptr<int>& alive,
           std::function<void()> task);
void Repeat(Loop* loop,
            DurationUs period,
            const std::weak_ptr<int>& alive,
            std::function<void()> task);

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_LOOPBACK_H_
