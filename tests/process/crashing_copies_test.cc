// Process tests of real gateways and requests that come in many copies at a
// time: one that ends the replicas which run it, and a sound one whose replicas
// ended at once.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "tests/soak/world.h"
#include "text.h"

namespace acaciachute {
namespace {

WorldOptions Deployment() {
  WorldOptions options;
  options.gateways = 3;
  options.plain_replicas = 8;
  options.chat_engines = 8;
  return options;
}

// The prompts of no two requests share a part, so that no part is in doubt.
std::string OwnPrompt() {
  static int n = 0;
  return StrCat("p", ++n, ":100");
}

void SendCopies(World* world,
                const std::string& route,
                const std::string& body,
                int n) {
  for (int k = 0; k < n; ++k) {
    ClientCall call;
    call.route = route;
    call.gateway = static_cast<std::size_t>(k) % 3;
    call.body = body;
    call.prompt = OwnPrompt();
    world->Send(call);
  }
}

bool AnyReplicaIsUp(World* world, std::string_view service) {
  return std::any_of(
      world->replicas().begin(), world->replicas().end(),
      [&](const auto& it) { return it->service() == service && !it->down(); });
}

// Waits, and sends sound requests to all gateways in turn meanwhile. Where no
// replica is up, or since `kListTime`, none can serve them.
void SendSound(World* world, const std::string& route, DurationUs time) {
  constexpr DurationUs kPeriod = 25 * kMillisecond;
  // Until all gateways have read the rows of replicas that started.
  constexpr DurationUs kListTime = 500 * kMillisecond;
  const TimeUs end = Loop::Now() + time;
  TimeUs next = Loop::Now();
  TimeUs none_up_at = next - kListTime;
  std::size_t sent = 0;
  world->WaitFor(time + kSecond, [&] {
    if (!AnyReplicaIsUp(world, route == "safe" ? "plain" : "chat")) {
      none_up_at = Loop::Now();
    }
    for (; Loop::Now() >= next && next < end; next += kPeriod) {
      ClientCall call;
      call.route = route;
      call.gateway = sent++ % 3;
      call.body = "sound";
      call.prompt = OwnPrompt();
      call.beside = Loop::Now() - none_up_at < kListTime ? "none" : "copies";
      world->Send(call);
    }
    return Loop::Now() >= end;
  });
}

struct Copies {
  const char* name;
  const char* route;
  const char* sound_route;
  int at_a_time;
  // Of the sound ones. What is in progress at an engine that ends is lost.
  double sound_share = 0.98;
};

class CrashingCopiesProcessTest : public ::testing::TestWithParam<Copies> {};

// Guards against a request whose copies come at the same time and count as one
// end however many replicas they end, wave after wave.
TEST_P(CrashingCopiesProcessTest, ReachFewReplicasAfterTheThird) {
  constexpr int kWaves = 4;
  constexpr DurationUs kWavePeriod = 3500 * kMillisecond;
  Loop loop;
  World world(&loop, Deployment());
  ASSERT_TRUE(world.Start());
  for (int n = 0; n < kWaves; ++n) {
    SendCopies(&world, GetParam().route, "crash", GetParam().at_a_time);
    SendSound(&world, GetParam().sound_route, kWavePeriod);
  }
  EXPECT_GE(world.ledger()->crashes().deaths(), CrashJudge::kDeaths);
  EXPECT_LE(world.ledger()->crashes().MostLateArrivals(),
            CrashJudge::kMaxLateArrivals);
  EXPECT_EQ(world.ledger()->crashes().InnocentsRefused(), 0U);
  const BegunShare sound = world.ledger()->BegunOf("copies");
  EXPECT_GT(sound.sent, 450U);
  EXPECT_GE(sound.share(), GetParam().sound_share);
}

INSTANTIATE_TEST_SUITE_P(Waves,
                         CrashingCopiesProcessTest,
                         ::testing::Values(Copies{"3", "safe", "safe", 3},
                                           Copies{"6", "safe", "safe", 6},
                                           Copies{"12", "unsafe", "safe", 12},
                                           Copies{"Streams6", "chat-resumed",
                                                  "chat-resumed", 6, 0.95},
                                           Copies{"Engine6", "chat-safe",
                                                  "chat-safe", 6, 0.95}),
                         [](const auto& test) { return test.param.name; });

struct SoundCopies {
  const char* name;
  const char* route;
  const char* service;
  int at_a_time;
};

class SoundCopiesProcessTest : public ::testing::TestWithParam<SoundCopies> {};

// Guards against refusing a sound request whose copies ran at replicas that all
// lost power at once: whether its copies come one by one or together, all are
// served.
TEST_P(SoundCopiesProcessTest, AreServedAfterAllReplicasEnded) {
  constexpr int kSent = 20;
  Loop loop;
  World world(&loop, Deployment());
  ASSERT_TRUE(world.Start());
  SendCopies(&world, GetParam().route, "victim", 12);
  world.WaitFor(10 * kMillisecond, [] { return false; });
  for (auto& it : world.replicas()) {
    if (it->service() == GetParam().service) {
      world.EndReplica(it.get(), true);
    }
  }
  world.WaitFor(World::kChatDownTime * 3 / 2 + kSecond, [] { return false; });
  for (int n = 0; n < kSent; ++n) {
    ClientCall call;
    call.route = GetParam().route;
    call.gateway = static_cast<std::size_t>(n) % 3;
    call.body = "victim";
    call.prompt = OwnPrompt();
    call.beside = "again";
    world.Send(call);
    if ((n + 1) % GetParam().at_a_time == 0) {
      ASSERT_TRUE(world.WaitFor(10 * kSecond,
                                [&] { return world.ledger()->open() == 0; }));
    }
  }
  const BegunShare again = world.ledger()->BegunOf("again");
  EXPECT_EQ(again.begun, static_cast<std::size_t>(kSent));
}

INSTANTIATE_TEST_SUITE_P(
    AtATime,
    SoundCopiesProcessTest,
    ::testing::Values(SoundCopies{"1", "unsafe", "plain", 1},
                      SoundCopies{"10", "unsafe", "plain", 10},
                      SoundCopies{"Streams20", "chat-resumed", "chat", 20}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace acaciachute
