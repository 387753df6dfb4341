// How long after the store's acknowledgement a gateway still goes by what was
// true before.
#include <gtest/gtest.h>

#include "tests/gateway/table_net.h"

namespace acaciachute {
namespace {

// After which nothing new may reach a replica that left.
constexpr DurationUs kBound = 3 * kSecond;
// Of it, for what follows a choice: a connection, and the way to the replica.
constexpr DurationUs kUntilThere = kBound / 4;

// Gateways that reach the store, whoever else does not.
std::vector<std::size_t> InTouch(TableNet* net) {
  std::vector<std::size_t> in_touch;
  for (std::size_t n = 0; n < net->size(); ++n) {
    const TableNet::Node& it = net->node(n);
    if (it.mood == TableNet::Mood::kServes && it.alive && !it.frozen) {
      in_touch.push_back(n);
    }
  }
  return in_touch;
}

// Until no gateway in touch would choose the replica any more.
DurationUs UntilNoneChooses(TableNet* net, const std::string& replica) {
  return net->RunUntil(
      [&] {
        const auto in_touch = InTouch(net);
        return std::none_of(in_touch.begin(), in_touch.end(), [&](auto n) {
          return net->node(n).directory->TakesWork(replica);
        });
      },
      20 * kSecond);
}

// Guards against: a gateway that reaches the store goes by a list of any age,
// because the gateway that it asks has lost the store and has not noticed.
TEST(FreshnessTest, AListIsYoungAlthoughTheRelayLostTheStore) {
  TableNet net(23, 4);
  net.Run(5 * kSecond);
  net.Silence(net.Relays().front());
  DurationUs oldest = 0;
  for (int n = 0; n < 600; ++n) {
    net.Run(TableNet::kTick);
    for (const std::size_t it : InTouch(&net)) {
      oldest = std::max(oldest, net.Age(it));
    }
  }
  EXPECT_LE(oldest, kBound - kUntilThere);
}

// Guards against: a gateway keeps a replica whose row is gone as if the store
// had been away, when only the gateway that it asked had lost the store.
TEST(FreshnessTest, ARemovedReplicaIsNotKeptBecauseTheRelayLostTheStore) {
  TableNet net(23, 4);
  net.Write("replica-1", "1");
  net.Write("replica-2", "1");
  net.Run(5 * kSecond);
  net.Silence(net.Relays().front());
  net.Run(TableNet::kTick);
  net.Remove("replica-1");
  EXPECT_LE(UntilNoneChooses(&net, "replica-1"), kBound - kUntilThere);
}

}  // namespace
}  // namespace acaciachute
