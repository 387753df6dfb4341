// Process tests of gateways of which one gets most new connections for some
// seconds.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <string>
#include <vector>

#include "tests/soak/world.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr char kBefore[] = "before";
constexpr char kHerd[] = "herd";

using Routes = std::vector<std::string>;

// Sends requests, each on a connection of its own. `to_first`: of ten requests,
// how many go to the first gateway; the others go to all in turn.
void SendFor(World* world,
             const Routes& routes,
             DurationUs time,
             DurationUs period,
             std::size_t to_first,
             const std::string& label) {
  const TimeUs end = Loop::Now() + time;
  TimeUs next = Loop::Now();
  std::size_t sent = 0;
  world->WaitFor(time + kSecond, [&] {
    for (; Loop::Now() >= next && next < end; next += period) {
      const std::size_t n = sent++;
      ClientCall call;
      call.route = routes[n % routes.size()];
      call.gateway = n % 10 < to_first ? 0 : n % world->gateways().size();
      call.body = StrCat(label, " ", n);
      call.beside = label;
      call.keeps_connection = false;
      world->Send(call);
    }
    return Loop::Now() >= end;
  });
}

// What the replicas of the plain service state as their limit, in requests a
// second; empty: none. Together they
// accept a quarter more than is sent.
class HerdProcessTest : public ::testing::TestWithParam<std::string> {};

// Guards against a gateway that serves less than before when most new
// connections of a zone are handed to it while clients open more of them.
TEST_P(HerdProcessTest, OneGatewayServesWhatMostNewConnectionsBring) {
  constexpr double kThreeQuarters = 0.75;
  Loop loop;
  WorldOptions options;
  options.gateways = 5;
  options.plain_replicas = 8;
  options.chat_engines = 16;
  World world(&loop, options);
  for (auto& it : world.replicas()) {
    if (it->service() == "plain") {
      it->SetRateLimit(GetParam());
    }
  }
  ASSERT_TRUE(world.Start());
  const Routes routes =
      GetParam().empty() ? Routes{"safe", "unsafe", "chat-safe", "chat-resumed"}
                         : Routes{"safe", "unsafe"};
  constexpr DurationUs kPeriod = 10 * kMillisecond;
  constexpr DurationUs kHerdPeriod = 4 * kMillisecond;
  SendFor(&world, routes, 4 * kSecond, kPeriod, 0, kBefore);
  SendFor(&world, routes, 3 * kSecond, kHerdPeriod, 9, "first seconds");
  SendFor(&world, routes, 3 * kSecond, kHerdPeriod, 9, kHerd);
  ASSERT_TRUE(
      world.WaitFor(8 * kSecond, [&] { return world.ledger()->open() == 0; }));
  const BegunShare before = world.ledger()->BegunOf(kBefore);
  const BegunShare herd = world.ledger()->BegunOf(kHerd);
  RecordProperty("before", StrCat(before.begun, " of ", before.sent));
  RecordProperty("herd", StrCat(herd.begun, " of ", herd.sent));
  EXPECT_GE(herd.share(), kThreeQuarters * before.share());
}

// Largest number of requests that arrived at the replica in any four seconds
// since `time`.
std::size_t MostArrivals(const StandinReplica& replica, TimeUs time) {
  constexpr DurationUs kWindow = 4 * kSecond;
  std::deque<TimeUs> window;
  std::size_t most = 0;
  for (const TimeUs it : replica.arrivals()) {
    if (it < time) {
      continue;
    }
    window.push_back(it);
    while (window.front() <= it - kWindow) {
      window.pop_front();
    }
    most = std::max(most, window.size());
  }
  return most;
}

// Guards against turns that are used twice because the gateway that lent or
// borrowed them is killed.
TEST(HerdLimitProcessTest, TheSumHoldsWhileGatewaysAreKilled) {
  // Of what a replica states in four seconds, one and a half times, and five.
  constexpr std::size_t kAllowed = 65;
  Loop loop;
  WorldOptions options;
  options.gateways = 5;
  options.plain_replicas = 4;
  World world(&loop, options);
  std::vector<StandinReplica*> limited;
  for (auto& it : world.replicas()) {
    if (it->service() == "plain") {
      it->SetRateLimit("10");
      limited.push_back(it.get());
    }
  }
  ASSERT_TRUE(world.Start());
  const Routes routes = {"safe", "unsafe"};
  constexpr DurationUs kPeriod = 15 * kMillisecond;
  // The gateways have complete parts, and the first one borrows.
  SendFor(&world, routes, 4 * kSecond, kPeriod, 0, "settling");
  const TimeUs began = Loop::Now();
  SendFor(&world, routes, 6 * kSecond, kPeriod, 9, "borrowing");
  for (std::size_t n = 0; n < 8; ++n) {
    // The lenders in turn, and sometimes the borrower.
    GatewayProcess& it = *world.gateways()[n % world.gateways().size()];
    it.Signal(SIGKILL);
    ASSERT_TRUE(world.WaitFor(kSecond, [&] { return it.Ended(); }));
    it.Start();
    SendFor(&world, routes, kSecond, kPeriod, 9, "killed");
  }
  for (const StandinReplica* it : limited) {
    const std::size_t most = MostArrivals(*it, began);
    RecordProperty(StrCat("most_", it->id()), StrCat(most));
    EXPECT_LE(most, kAllowed) << it->id();
  }
}

INSTANTIATE_TEST_SUITE_P(Limits, HerdProcessTest, ::testing::Values("", "40"));

}  // namespace
}  // namespace acaciachute
