// A randomized soak: real gateways, with faults from outside them, drawn from a
// seed. Ends with one line for each promise that was broken.
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>

#include "glog/logging.h"
#include "tests/soak/soak.h"
#include "text.h"

namespace acaciachute {
namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options("soak", "Real gateways under drawn faults");
  options.add_options()("seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "how many, one after the other",
      cxxopts::value<int>()->default_value("1"))(
      "seconds", "of faults, each seed",
      cxxopts::value<int>()->default_value("12"))(
      "gateways", "processes", cxxopts::value<int>()->default_value("3"))(
      "rate", "requests a second", cxxopts::value<int>()->default_value("40"))(
      "logs", "folder for the gateways' logs",
      cxxopts::value<std::string>()->default_value(""))("help", "show this");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  google::InitGoogleLogging(argv[0]);
  Loop loop;
  int failed = 0;
  const auto first = parsed["seed"].as<std::uint64_t>();
  for (int n = 0; n < parsed["seeds"].as<int>(); ++n) {
    SoakOptions soak;
    soak.seed = first + static_cast<std::uint64_t>(n);
    soak.time = parsed["seconds"].as<int>() * kSecond;
    soak.rate = parsed["rate"].as<int>();
    soak.world.gateways = parsed["gateways"].as<int>();
    soak.world.log_folder = parsed["logs"].as<std::string>();
    const SoakReport report = RunSoak(&loop, soak);
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(soak.seed),
                report.summary.c_str());
    for (const auto& it : report.faults) {
      std::printf("  fault %s\n", it.c_str());
    }
    for (const auto& it : report.broken) {
      std::printf("  BROKEN %s\n", it.c_str());
    }
    std::fflush(stdout);
    failed += report.broken.empty() ? 0 : 1;
  }
  std::printf("%d of %d seeds broke a promise\n", failed,
              parsed["seeds"].as<int>());
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace acaciachute

int main(int argc, char** argv) {
  return acaciachute::Main(argc, argv);
}
