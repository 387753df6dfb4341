// Process test of a lease holder that is suspended by SIGSTOP and resumed.
#include <gtest/gtest.h>

#include <csignal>

#include "tests/process/entry_group.h"

namespace acaciachute {
namespace {

// Covers the term of the lease, the time until a successor takes it, and two
// control orders with the wait for a newer fencing number between them.
constexpr DurationUs kWaitTimeout = 90 * kSecond;

// The holder loads model version 7 at both upstreams and is stopped. Version 8
// is accepted, another entry takes the lease and loads version 8. The first
// holder resumes with its outdated state. One upstream checks fencing numbers,
// the other ignores them; neither executes an order under the first holder's
// fencing number any more.
TEST(LeaseProcessTest, StoppedHolderGivesNoOldOrder) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, 3);
  group.StartReplica(true);
  group.StartReplica(false);
  group.SetModel("7");
  ASSERT_NE(group.Change(), 0U);
  const auto all_have = [&](const std::string& version) {
    for (int n = 0; n < 2; ++n) {
      const auto orders = group.ExecutedOrdersAt(n);
      if (orders.empty() || !orders.back().starts_with(version + "@")) {
        return false;
      }
    }
    return true;
  };
  ASSERT_TRUE(group.WaitFor([&] { return all_have("7"); }, kWaitTimeout));
  const int first = group.LeaseHolder();
  ASSERT_GE(first, 0);
  group.entries[first]->Signal(SIGSTOP);
  group.SetModel("8");
  ASSERT_NE(group.Change(), 0U);
  ASSERT_TRUE(group.WaitFor([&] { return all_have("8"); }, kWaitTimeout));
  const auto orders_of_0 = group.ExecutedOrdersAt(0);
  const auto orders_of_1 = group.ExecutedOrdersAt(1);
  group.entries[first]->Signal(SIGCONT);
  ASSERT_TRUE(group.WaitFor([&] { return group.Ready(first); }, kWaitTimeout));
  const TimeUs until = Loop::Now() + 5 * kSecond;
  group.WaitFor([&] { return Loop::Now() >= until; }, kWaitTimeout);
  EXPECT_EQ(group.ExecutedOrdersAt(0), orders_of_0);
  EXPECT_EQ(group.ExecutedOrdersAt(1), orders_of_1);
  EXPECT_NE(group.LeaseHolder(), first);
}

}  // namespace
}  // namespace acaciachute
