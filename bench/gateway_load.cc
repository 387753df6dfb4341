// Measures the CPU time per request and the memory of a gateway process at
// fixed rates of requests and streams, with stand-ins on loopback.
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>

#include "tests/soak/world.h"

namespace acaciachute {
namespace {

// Period of the timer that sends the due requests, short for an even rate.
constexpr DurationUs kTimerPeriod = 5 * kMillisecond;

struct Load {
  std::string route;
  double per_second = 0;
};

// Runs one load and prints its cost.
void RunLoad(Loop* loop, World* world, const Load& load, DurationUs time) {
  GatewayProcess& gateway = *world->gateways()[0];
  const DurationUs used_before = gateway.ProcessorTime();
  const std::size_t sent_before = world->ledger()->sent();
  const TimeUs start = Loop::Now();
  double due = 0;
  const auto timer = loop->Every(kTimerPeriod, [&] {
    if (Loop::Now() - start > time) {
      return;
    }
    due += load.per_second * static_cast<double>(kTimerPeriod) /
           static_cast<double>(kSecond);
    for (; due >= 1; --due) {
      world->Send(load.route, 0);
    }
  });
  world->WaitFor(time, [&] { return false; });
  world->WaitFor(10 * kSecond, [&] { return world->ledger()->open() == 0; });
  loop->Cancel(timer);
  const auto sent = world->ledger()->sent() - sent_before;
  const DurationUs used = gateway.ProcessorTime() - used_before;
  std::printf(
      "%-8s %6.0f/s %6zu sent  %7.3f ms of CPU time per request  %5.1f MB\n",
      load.route.c_str(), load.per_second, sent,
      static_cast<double>(used) / 1000 / static_cast<double>(sent),
      static_cast<double>(gateway.MemoryBytes()) / 1e6);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("bench_gateway_load",
                           "CPU time and memory of a gateway per request");
  options.add_options()("seconds", "duration of each load",
                        cxxopts::value<int>()->default_value("5"))(
      "rate", "streams per second; plain requests come at five times this rate",
      cxxopts::value<double>()->default_value("20"))("help", "show this");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  Loop loop;
  WorldOptions world_options;
  World world(&loop, world_options);
  if (!world.Start()) {
    std::fprintf(stderr, "the gateway was not ready within 10 s\n");
    return 1;
  }
  const DurationUs time = parsed["seconds"].as<int>() * kSecond;
  const double rate = parsed["rate"].as<double>();
  for (const Load& load : {Load{"unsafe", 5 * rate}, Load{"staged", rate}}) {
    RunLoad(&loop, &world, load, time);
  }
  for (const auto& [route, ends] : world.ledger()->Outcomes()) {
    for (const auto& [end, n] : ends) {
      std::printf("%s: %s %d\n", route.c_str(), end.c_str(), n);
    }
  }
  for (const auto& it : world.ledger()->Violations()) {
    std::printf("broken: %s\n", it.c_str());
  }
  return 0;
}

}  // namespace
}  // namespace acaciachute

int main(int argc, char** argv) {
  return acaciachute::Main(argc, argv);
}
