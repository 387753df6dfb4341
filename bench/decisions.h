// Benchmark of load decisions: runs the real `Entry` and `Sidecar` cores under
// load patterns in virtual time and measures the answers that callers receive.
// The simulation compares decisions and is not a model of a cluster: messages
// are never lost, the network has one latency, and engines only batch, slow
// down and fail.
#ifndef ACACIACHUTE_BENCH_DECISIONS_H_
#define ACACIACHUTE_BENCH_DECISIONS_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "types.h"

namespace acaciachute::bench {

inline constexpr int kAccounts = 5;
inline constexpr int kStages = 4;

// Size and network of a simulated deployment.
struct Deployment {
  std::string_view name;
  int model_replicas = 0;
  int domains = 0;
  DurationUs one_way = 0;  // One-way network latency.
};
// Sizes and latencies of the two deployments in operation today.
inline constexpr std::array<Deployment, 2> kDeployments = {{
    {"brookvale", 9, 4, 1500},
    {"correo", 18, 3, 500},
}};

// Times within a run. The change of a pattern lasts from `kChangeStart` to
// `kChangeEnd`. Requests sent before `kWarmUpEnd` are not counted,
// `kChangeMeasureStart` starts the measurement under the change,
// `kAfterMeasureStart` the one after it, and no requests are sent from `kEnd`
// on.
inline constexpr TimeUs kWarmUpEnd = 4 * kSecond;
inline constexpr TimeUs kChangeStart = 10 * kSecond;
inline constexpr TimeUs kChangeMeasureStart = kChangeStart + 2 * kSecond;
inline constexpr TimeUs kChangeEnd = 30 * kSecond;
inline constexpr TimeUs kAfterMeasureStart = kChangeEnd + 5 * kSecond;
inline constexpr TimeUs kEnd = 42 * kSecond;

// A load pattern; its fields describe the change.
struct Pattern {
  std::string_view name;
  double load = 0.7;              // Offered load / capacity of generation.
  double hot_account_factor = 1;  // Factor on one account's request rate.
  // Factor on one model replica's service time.
  double one_replica_slowdown = 1;
  double all_replicas_slowdown = 1;  // Same factor of all model replicas.
  bool failing = false;              // One model replica fails every call.
  double long_jobs = 0;       // Share of requests of five times the work.
  DurationUs report_lag = 0;  // Extra delay of heartbeats and load reports.
  bool domain_lost = false;   // All replicas of a failure domain are down.
  bool resends = false;       // Refused callers resend after Retry-After.
};
const std::vector<Pattern>& Patterns();

enum class Policy { kNaive, kProduction };

// Number of requests sent and of those answered in time.
struct Tally {
  std::uint64_t sent = 0;
  std::uint64_t in_time = 0;  // Completely answered before the deadline.
  double Share() const {
    return sent == 0 ? 1 : static_cast<double>(in_time) / sent;
  }
};

// What callers received in one run, or the merged result of several runs.
struct Result {
  std::array<Tally, 2> by_class;
  std::array<Tally, kAccounts> by_account;
  Tally after;             // Requests sent after `kAfterMeasureStart`.
  double bound_share = 0;  // Work answered in time / capacity bound.
  // The same for the time from `kChangeMeasureStart` to `kChangeEnd`.
  double bound_share_during_change = 0;
  // Answer times of urgent requests: 50th, 99th and 99.9th percentile.
  std::array<DurationUs, 3> urgent_waits{};
  std::uint64_t refused = 0;
  std::array<std::uint64_t, kRefusals.size()> reasons{};
  std::uint64_t late = 0;        // Requests answered late or timed out.
  DurationUs refusal_p99 = 0;    // 99th percentile of arrival to refusal.
  DurationUs longest_gap = 0;    // Longest time any account got no answer.
  std::uint64_t unanswered = 0;  // Requests without answer or refusal.
  std::uint64_t twice = 0;       // Second answers to a request.
  std::uint64_t doubled = 0;     // Non-idempotent requests that ran twice.
  // Share of upstream time spent on requests that were not answered in time.
  double wasted = 0;
  std::array<double, kStages> cost{};  // Upstream seconds per answer.
  double refused_cost = 0;      // Upstream seconds per request not in time.
  double retries = 0;           // Per request.
  std::uint64_t signature = 0;  // Hash of all answers and upstream calls.
};

// Sums of counts, means of shares and costs, maxima of times.
Result Merge(const std::vector<Result>& results);

// Simulates one run; the same arguments always give the same result.
Result Run(const Deployment& deployment,
           const Pattern& pattern,
           Policy policy,
           std::uint64_t seed,
           TimeUs end = kEnd);

}  // namespace acaciachute::bench

#endif  // ACACIACHUTE_BENCH_DECISIONS_H_
