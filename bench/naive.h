// The version that the decisions are measured against: round robin, first come
// first served, blind retries. It admits everything, never cancels, and tells
// its sidecars nothing of class or deadline.
#ifndef ACACIACHUTE_BENCH_NAIVE_H_
#define ACACIACHUTE_BENCH_NAIVE_H_

#include <map>
#include <set>
#include <string>
#include <utility>

#include "coordination/interface/entry.h"

namespace acaciachute::bench {

// Of every sidecar of the bench; none is restarted.
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
  // Retries of one stage, each at the next replica.
  static constexpr int kTries = 3;

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
  std::map<std::string, std::size_t> turns_;
  std::map<std::uint64_t, Request> requests_;
  std::set<std::pair<TimeUs, std::uint64_t>> deadlines_;
};

}  // namespace acaciachute::bench

#endif  // ACACIACHUTE_BENCH_NAIVE_H_
