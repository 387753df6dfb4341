// Lets one request at a time try whether a blocked cause is sound after all.
//
// A part whose verdict is doubtful may be sound: its requests ran at many
// replicas when all of them lost power, or it goes with another part that ends
// replicas. An answer that begins on it shows that; without a trial it would be
// refused for good. If each gateway tried for itself, a part that does end
// replicas would end as many again. So only one of the live gateways tries a
// cause, the one with the highest hash of both.
#ifndef ACACIACHUTE_SRC_COORDINATION_CRASHES_CAUSE_TRIALS_H_
#define ACACIACHUTE_SRC_COORDINATION_CRASHES_CAUSE_TRIALS_H_

#include <map>
#include <utility>
#include <vector>

#include "state/crash_cause.h"
#include "types.h"

namespace acaciachute {

class CauseTrials {
 public:
  // Trials of one cause by this gateway; as many ends in sequence confirm a
  // verdict.
  static constexpr int kMaxTrials = 3;

  explicit CauseTrials(NodeId self) : self_(std::move(self)) {}

  // Begins a trial of the causes by the request. Returns false if there is one,
  // if there were enough, or if another of the gateways is to try them.
  [[nodiscard]] bool Begin(const std::vector<CrashCause>& causes,
                           ExchangeId request,
                           const std::vector<NodeId>& peers);
  bool IsTrial(const CrashCause& cause, ExchangeId request) const;
  // The request ended. A trial that no replica was sent does not count.
  void OnEnded(ExchangeId request, bool sent);

 private:
  struct Trial {
    int begun = 0;
    ExchangeId request = 0;  // In progress; zero: none.
  };

  bool IsOwn(const CrashCause& cause, const std::vector<NodeId>& peers) const;

  const NodeId self_;
  std::map<CrashCause, Trial> trials_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CRASHES_CAUSE_TRIALS_H_
