#include "coordination/crashes/crash_judgement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace acaciachute {
namespace {

// Least time from an end to a run in sequence. Before, nobody can know of the
// end: where a whole service ends at once, copies that failed there are sent on
// to other replicas of it.
constexpr DurationUs kMinGap = BrokenAttempts::kProbeDelay;

// Of the causes with too many ends that were in progress at a replica's end,
// those with most of them.
struct Explanation {
  const JudgedCause* request = nullptr;  // Null: there is none.
  const JudgedCause* part = nullptr;     // Likewise.
  std::size_t parts = 0;                 // Parts with as many ends as `part`.
  std::size_t untried = 0;               // Parts that were not tried there.
};
using Explanations = std::map<ReplicaId, Explanation>;

std::size_t TriedRuns(const std::vector<EndedRun>& runs) {
  return static_cast<std::size_t>(std::count_if(
      runs.begin(), runs.end(), [](const EndedRun& it) { return it.tried; }));
}

bool HasTooMany(const JudgedCause& cause, const std::vector<EndedRun>& runs) {
  const CauseLimits limits = LimitsOf(cause.kind);
  if (cause.kind == CauseKind::kRequest &&
      TriedRuns(runs) >= kMaxFailedTrials) {
    return true;
  }
  if (cause.cleared_before) {
    return runs.size() >= limits.ends_if_cleared &&
           InSequence(runs) >= limits.sequence_if_cleared;
  }
  return runs.size() >= limits.ends && (runs.size() >= limits.ends_at_once ||
                                        InSequence(runs) >= limits.ends);
}

void ExplainBy(const JudgedCause& cause, Explanations* explanations) {
  const auto rank = [](const JudgedCause* it) {
    return it == nullptr ? 0 : it->ends.size();
  };
  for (const auto& [replica, run] : cause.ends) {
    Explanation& it = (*explanations)[replica];
    it.untried += cause.kind == CauseKind::kPromptPart && !run.tried;
    if (cause.kind == CauseKind::kRequest) {
      it.request = rank(&cause) > rank(it.request) ? &cause : it.request;
    } else if (rank(&cause) > rank(it.part)) {
      it.part = &cause;
      it.parts = 1;
    } else if (rank(&cause) == rank(it.part)) {
      ++it.parts;
    }
  }
}

bool IsExplained(const JudgedCause& cause, const Explanation& by) {
  const std::size_t ends = cause.ends.size();
  const bool by_part = by.part != nullptr &&
                       (by.part->ends.size() > ends ||
                        (by.part->ends.size() == ends && !cause.has_too_many));
  return by_part || (by.request != nullptr && by.request->ends.size() > ends);
}

std::vector<EndedRun> CountedRuns(const JudgedCause& cause,
                                  const Explanations& explanations) {
  std::vector<EndedRun> runs;
  std::set<const JudgedCause*> requests;  // Of which an end was counted.
  for (const auto& [replica, run] : cause.ends) {
    const auto it = explanations.find(replica);
    if (it != explanations.end()) {
      const JudgedCause* request = it->second.request;
      const bool counts_once =
          cause.kind == CauseKind::kPromptPart && request != nullptr;
      if (IsExplained(cause, it->second) ||
          (counts_once && !requests.insert(request).second)) {
        continue;
      }
    }
    runs.push_back(run);
  }
  return runs;
}

std::size_t Rivals(const JudgedCause& cause, const Explanations& explanations) {
  std::size_t rivals = SIZE_MAX;
  for (const auto& [replica, run] : cause.ends) {
    const auto it = explanations.find(replica);
    rivals = std::min(rivals, it == explanations.end() ? 0 : it->second.parts);
  }
  return rivals;
}

// When the `n`-th of the runs ended; zero if there are fewer.
TimeUs EndOfNth(const std::vector<EndedRun>& runs, std::size_t n) {
  if (runs.size() < n) {
    return 0;
  }
  std::vector<TimeUs> ends;
  ends.reserve(runs.size());
  for (const EndedRun& it : runs) {
    ends.push_back(it.ended_at);
  }
  std::sort(ends.begin(), ends.end());
  return ends[n - 1];
}

// Whether a replica ended under a request that tried the cause, and nothing
// else that was there may have ended it.
bool TrialFailed(const JudgedCause& cause, const Explanations& explanations) {
  return std::any_of(
      cause.ends.begin(), cause.ends.end(), [&](const auto& end) {
        const auto it = explanations.find(end.first);
        return end.second.tried &&
               (it == explanations.end() || it->second.untried == 0);
      });
}

void SetVerdict(JudgedCause* cause, const Explanations& explanations) {
  const std::vector<EndedRun> runs = CountedRuns(*cause, explanations);
  cause->counted = runs.size();
  const CauseLimits limits = LimitsOf(cause->kind);
  const bool has_too_many = HasTooMany(*cause, runs);
  const bool is_request = cause->kind == CauseKind::kRequest;
  cause->blocked = has_too_many || (is_request && runs.size() >= limits.ends);
  cause->decided_at = EndOfNth(runs, limits.ends);
  cause->rivals = Rivals(*cause, explanations);
  cause->doubtful =
      cause->blocked &&
      (is_request ? !has_too_many : !TrialFailed(*cause, explanations));
}

}  // namespace

// Taking the run that ends first each time gives the longest sequence.
std::size_t InSequence(std::vector<EndedRun> runs) {
  std::sort(runs.begin(), runs.end(), [](const EndedRun& a, const EndedRun& b) {
    return a.ended_at < b.ended_at;
  });
  std::size_t n = 0;
  std::optional<TimeUs> last_end;
  for (const EndedRun& it : runs) {
    if (!last_end || it.began_at >= *last_end + kMinGap) {
      last_end = it.ended_at;
      ++n;
    }
  }
  return n;
}

// Requests first, as what is counted for parts depends on them, but not the
// other way round: the parts of a request are in progress wherever it is.
void JudgeCauses(std::vector<JudgedCause>* causes) {
  Explanations explanations;
  for (const CauseKind kind : {CauseKind::kRequest, CauseKind::kPromptPart}) {
    for (JudgedCause& it : *causes) {
      if (it.kind == kind) {
        it.has_too_many = HasTooMany(it, CountedRuns(it, explanations));
      }
    }
    for (const JudgedCause& it : *causes) {
      if (it.kind == kind && it.has_too_many) {
        ExplainBy(it, &explanations);
      }
    }
  }
  for (JudgedCause& it : *causes) {
    SetVerdict(&it, explanations);
  }
}

}  // namespace acaciachute
