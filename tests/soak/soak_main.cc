// Runs soaks of real gateway processes with random external faults, one for
// each seed. Prints one line for each violated guarantee.
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>

#include "glog/logging.h"
#include "tests/soak/soak.h"
#include "tests/soak/version_soak.h"
#include "text.h"

namespace acaciachute {
namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "soak", "Injects random faults into real gateways and checks guarantees");
  options.add_options()("seed", "first seed",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "number of seeds, run one after the other",
      cxxopts::value<int>()->default_value("1"))(
      "seconds", "time of fault injection per seed",
      cxxopts::value<int>()->default_value("12"))(
      "gateways", "number of gateway processes; with --versions by the seed",
      cxxopts::value<int>()->default_value("3"))(
      "rate", "requests per second; with --versions 10",
      cxxopts::value<int>()->default_value("40"))(
      "plain", "replicas of the plain service",
      cxxopts::value<int>()->default_value("3"))(
      "stages", "replicas of each stage",
      cxxopts::value<int>()->default_value("3"))(
      "engines", "model engines", cxxopts::value<int>()->default_value("3"))(
      "retries", "draw faults that make gateways retry")(
      "answers", "draw framings of answers, and break answers off")(
      "crashes", "some requests end the replicas that run them")(
      "versions", "replicas of several software versions, long streams")(
      "only",
      "draw faults with these parts of names only, as \"rolled,kill all\"; "
      "with --versions",
      cxxopts::value<std::string>()->default_value(""))(
      "unframed", "no answer has a length or chunks; with --answers")(
      "cuts", "percent of the answers that are broken off all the time",
      cxxopts::value<int>()->default_value("5"))(
      "slack", "fixed part of the retry budget",
      cxxopts::value<double>()->default_value("56"))(
      "logs", "folder for the gateways' logs; empty: no logs",
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
    soak.fault_time = parsed["seconds"].as<int>() * kSecond;
    soak.rate = parsed["rate"].as<int>();
    soak.world.gateways = parsed["gateways"].as<int>();
    soak.world.plain_replicas = parsed["plain"].as<int>();
    soak.world.stage_replicas = parsed["stages"].as<int>();
    soak.world.engines = parsed["engines"].as<int>();
    soak.world.retries.slack = parsed["slack"].as<double>();
    if (parsed.count("unframed") > 0) {
      soak.world.framing = AnswerEnd::kClosed;
    }
    soak.cut_percent = parsed["cuts"].as<int>();
    soak.profile = parsed.count("retries") > 0   ? FaultProfile::kRetries
                   : parsed.count("answers") > 0 ? FaultProfile::kAnswers
                   : parsed.count("crashes") > 0 ? FaultProfile::kCrashes
                                                 : FaultProfile::kAll;
    soak.only = parsed["only"].as<std::string>();
    soak.world.log_folder = parsed["logs"].as<std::string>();
    const bool versions = parsed.count("versions") > 0;
    if (versions && parsed.count("gateways") == 0) {
      soak.world.gateways = VersionSoakGateways(soak.seed);
    }
    if (versions && parsed.count("rate") == 0) {
      soak.rate = kVersionSoakRate;
    }
    const SoakReport report =
        versions ? RunVersionSoak(&loop, soak) : RunSoak(&loop, soak);
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(soak.seed),
                report.summary.c_str());
    if (!versions) {
      std::printf("  ends: %s\n", report.ends.c_str());
    }
    for (const auto& it : report.figures) {
      std::printf("  %s\n", it.c_str());
    }
    for (const auto& it : report.faults) {
      std::printf("  fault %s\n", it.c_str());
    }
    if (soak.profile == FaultProfile::kCrashes) {
      std::printf("  replicas ended under requests: %zu\n", report.crashes);
    }
    for (const RetryWindow& it : report.retry_windows) {
      std::printf("  retries at %s: %zu in the worst window, %.1f allowed\n",
                  it.service.c_str(), it.retries, it.allowed);
    }
    for (const auto& it : report.violations) {
      std::printf("  BROKEN %s\n", it.c_str());
    }
    std::fflush(stdout);
    failed += report.violations.empty() ? 0 : 1;
  }
  std::printf("%d of %d seeds violated a guarantee\n", failed,
              parsed["seeds"].as<int>());
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace acaciachute

int main(int argc, char** argv) {
  return acaciachute::Main(argc, argv);
}
