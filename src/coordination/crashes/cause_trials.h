// Lets one request at a time try whether blocked causes are sound after all.
//
// A part whose verdict is doubtful may be sound: its requests ran at many
// replicas when all of them lost power, or it goes with another part that ends
// replicas. An answer that begins on it shows that; without a trial it would be
// refused for good. If each gateway tried for itself, a part that does end
// replicas would end as many again. So only one of the live gateways tries the
// blocked causes of a request, the one with the highest hash of the first and
// its name.
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
  // Limit on trials of the same causes by this gateway. Trials may end without
  // a result: their clients leave, or the replica ends of another cause.
  static constexpr int kMaxTrials = 3;

  explicit CauseTrials(NodeId self) : self_(std::move(self)) {}

  // The blocked causes of a request, in the order of its prompt.
  using Causes = std::vector<CrashCause>;
  // Begins a trial of the causes by the request. Returns false if there is one,
  // if there were `most`, or if another of the gateways is to try them.
  [[nodiscard]] bool Begin(const Causes& causes,
                           ExchangeId request,
                           int most,
                           const std::vector<NodeId>& peers);
  bool IsTrial(const Causes& causes, ExchangeId request) const;
  // The request ended. A trial that no replica was sent does not count.
  void OnEnded(ExchangeId request, bool sent);

 private:
  struct Trial {
    int begun = 0;
    ExchangeId request = 0;  // In progress; zero: none.
  };

  bool IsOwn(const CrashCause& cause, const std::vector<NodeId>& peers) const;

  const NodeId self_;
  std::map<Causes, Trial> trials_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CRASHES_CAUSE_TRIALS_H_
