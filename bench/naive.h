// Baseline of the decision benchmark: an entry with round robin, first come
// first served and unconditional retries. It admits every request, never
// cancels a call, and sends no caller class and no deadline to sidecars.
#ifndef ACACIACHUTE_BENCH_NAIVE_H_
#define ACACIACHUTE_BENCH_NAIVE_H_

#include <map>
#include <set>
#include <string>
#include <utility>

#include "coordination/interface/entry.h"

namespace acaciachute::bench {

// Incarnation of all sidecars in the benchmark; none of them restarts.
inline constexpr Incarnation kSidecarIncarnation = 7;

class NaiveEntry {
 public:
  NaiveEntry(Incarnation incarnation, SettingsPtr settings, EntryOutput* output)
      : incarnation_(incarnation),
        settings_(std::move(settings)),
        output_(output) {}

  void OnRequest(TimeUs now, const CallerRequest& call);
  void OnMessage(TimeUs now, const NodeId& from, const Message& message);
  void OnUnsent(TimeUs now, const NodeId& to, const Message& message);
  void OnPeerLost(TimeUs now, const NodeId& node);
  void OnTick(TimeUs now);

 private:
  // Attempts per stage, each at the next replica.
  static constexpr int kMaxAttempts = 3;

  struct Request {
    CallerHandle handle = 0;
    std::string event;
    std::string body;
    TimeUs deadline = 0;
    StageKey key;
    NodeId node;
    int tries = 0;
  };

  Request* Find(const StageKey& key);
  void Send(Request& request);
  void Retry(Request& request);
  void Finish(const Request& request, Verdict verdict, Refusal reason);

  const Incarnation incarnation_;
  const SettingsPtr settings_;
  EntryOutput* const output_;
  std::uint64_t next_sequence_ = 1;
  std::map<std::string, std::size_t> next_replica_;  // Round robin, by pool.
  std::map<std::uint64_t, Request> requests_;
  std::set<std::pair<TimeUs, std::uint64_t>> deadlines_;
};

}  // namespace acaciachute::bench

#endif  // ACACIACHUTE_BENCH_NAIVE_H_
