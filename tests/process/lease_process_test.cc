// A lease's holder that is really stopped and goes on.
#include <gtest/gtest.h>

#include <csignal>

#include "tests/process/entry_group.h"

namespace acaciachute {
namespace {

// The lease's term, the watch of a successor, and two orders with a pause for a
// newer number between them.
constexpr DurationUs kPatience = 90 * kSecond;

// The holder loads version 7 everywhere and is stopped. Version 8 is accepted,
// another entry takes the lease and loads it. The first one goes on, believing
// what it believed. One upstream checks numbers, the other ignores them: at
// neither is anything carried out under the first number any more.
TEST(LeaseProcessTest, StoppedHolderGivesNoOldOrder) {
  EntryGroup group(ACACIACHUTE_BIN_DIR, 3);
  group.StartReplica(true);
  group.StartReplica(false);
  group.SetModel("7");
  ASSERT_NE(group.Change(), 0U);
  const auto all_have = [&](const std::string& version) {
    for (int n = 0; n < 2; ++n) {
      const auto orders = group.OrdersAt(n);
      if (orders.empty() || !orders.back().starts_with(version + "@")) {
        return false;
      }
    }
    return true;
  };
  ASSERT_TRUE(group.WaitFor([&] { return all_have("7"); }, kPatience));
  const int first = group.Holder();
  ASSERT_GE(first, 0);
  group.entries[first]->Signal(SIGSTOP);
  group.SetModel("8");
  ASSERT_NE(group.Change(), 0U);
  ASSERT_TRUE(group.WaitFor([&] { return all_have("8"); }, kPatience));
  const auto orders_of_0 = group.OrdersAt(0);
  const auto orders_of_1 = group.OrdersAt(1);
  group.entries[first]->Signal(SIGCONT);
  ASSERT_TRUE(group.WaitFor([&] { return group.Ready(first); }, kPatience));
  const TimeUs until = Loop::Now() + 5 * kSecond;
  group.WaitFor([&] { return Loop::Now() >= until; }, kPatience);
  EXPECT_EQ(group.OrdersAt(0), orders_of_0);
  EXPECT_EQ(group.OrdersAt(1), orders_of_1);
  EXPECT_NE(group.Holder(), first);
}

}  // namespace
}  // namespace acaciachute
