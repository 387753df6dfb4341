// Records the attempts that clients sent, the answers they received and the
// runs at replicas, and finds violations of the guarantees. Uses only what
// clients and replicas observe.
#ifndef ACACIACHUTE_TESTS_SOAK_LEDGER_H_
#define ACACIACHUTE_TESTS_SOAK_LEDGER_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "state/answer_end.h"
#include "tests/soak/crash_judge.h"
#include "tests/soak/retry_judge.h"
#include "types.h"

namespace acaciachute {

// One attempt of a client.
struct LedgerEntry {
  std::string route;
  std::string account;
  std::size_t gateway = 0;  // That it was sent to.
  bool idempotent = false;  // May run more than once.
  TimeUs sent_at = 0;
  DurationUs deadline = 0;
  std::uint32_t max_attempts = 1;  // Of its route.
  int runs = 0;                    // At replicas.
  bool ended = false;  // The client has its answer or lost its connection.
  TimeUs ended_at = 0;
  int status = 0;  // HTTP status; zero: the connection ended without answer.
  bool answer_complete = false;        // The answer was complete.
  AnswerEnd end = AnswerEnd::kBroken;  // Of the answer, as the client saw it.
  // A replica broke its answer off so that nobody can tell.
  bool unknown_end = false;
  // Key (see `CrashJudge`) of what ends replicas and of which this sound
  // attempt has the account or other parts; empty: none.
  std::string beside;
  bool in_touch = false;  // Its gateway was, when it was sent.
};

// Of some attempts, those that got an answer of a replica at the first try.
struct BegunShare {
  std::size_t sent = 0;
  std::size_t begun = 0;
  double share() const {
    return sent == 0 ? 1
                     : static_cast<double>(begun) / static_cast<double>(sent);
  }
};

// All attempts of a soak, by attempt id.
class Ledger {
 public:
  explicit Ledger(const ServiceRetryBudgetLimits& limits)
      : retry_judge_(limits) {}

  // `services`: those that the attempt needs, those of its stages included.
  void OnSent(const std::string& id,
              LedgerEntry entry,
              const std::vector<std::string>& services);
  // Whether a client sent it.
  bool Knows(const std::string& id) const { return entries_.contains(id); }
  // A replica received the attempt, with `time_left` as its deadline (negative:
  // none), or a piece of one; it may turn it away.
  void OnRequestArrived(TimeUs now,
                        const std::string& service,
                        const std::string& id,
                        DurationUs time_left);
  void OnPieceArrived(TimeUs now,
                      const std::string& service,
                      const std::string& piece);
  // A replica starts to run the attempt, for `account`.
  void OnRun(const std::string& id, const std::string& account);
  // A replica made a result for a piece of the attempt, or used one as its
  // input.
  void OnResultMade(const std::string& handle, const std::string& id);
  void OnInputUsed(const std::string& id, const std::string& handle);
  // A replica broke its answer to the attempt off, or a call's (no id), and
  // nothing that it sent shows that.
  void OnUnknownEnd(const std::string& id);
  // The client received its answer, or its connection broke. `problem`: what is
  // wrong with what it received whatever the end was; empty: nothing. `whole`:
  // it received all of the body.
  void OnEnded(TimeUs now,
               const std::string& id,
               int status,
               AnswerEnd end,
               bool whole,
               const std::string& problem);
  // A client or replica observed a violation.
  void OnViolation(const std::string& violation, const std::string& id);

  // A replica received an attempt that ends it; counts if the gateway that sent
  // it was in touch.
  void OnCrashingArrived(TimeUs now,
                         const std::string& id,
                         const std::string& body) {
    const auto it = entries_.find(id);
    if (it != entries_.end() && now >= in_touch_from_[it->second.gateway]) {
      crash_judge_.OnArrived(now, body);
    }
  }
  // The gateway is disturbed, and in touch again from `until` on.
  void OnDisturbed(std::size_t gateway, TimeUs until) {
    TimeUs& from = in_touch_from_[gateway];
    from = std::max(from, until);
  }
  // Requests that end replicas.
  CrashJudge& crashes() { return crash_judge_; }
  // Of the sound attempts beside what ends replicas, at gateways in touch:
  // before its first end, and from `kSoundAgainDelay` after the last one that
  // it may cause.
  static constexpr DurationUs kSoundAgainDelay = 2 * CrashJudge::kContact;
  BegunShare BegunBefore(const std::string& key) const;
  // Of all attempts that name it, whenever they were sent.
  BegunShare BegunOf(const std::string& beside) const {
    return BegunBetween(beside, 0, std::numeric_limits<TimeUs>::max());
  }
  BegunShare BegunAfter(const std::string& key) const;

  // All violations, each as one line with the id of the attempt.
  std::vector<std::string> Violations() const;
  // The worst window of each service for the retry budget.
  std::vector<RetryWindow> WorstRetryWindows() const {
    return retry_judge_.WorstWindows();
  }
  // Number of attempts by route and outcome, for the summary.
  std::map<std::string, std::map<std::string, int>> Outcomes() const;
  // Number of answers with status 200 by the end that the client saw and by
  // whether they were whole, for the summary.
  std::map<std::string, int> Ends() const;
  // Attempts that have not ended.
  std::size_t open() const { return open_; }
  std::size_t sent() const { return entries_.size(); }

 private:
  BegunShare BegunBetween(const std::string& key,
                          TimeUs from,
                          TimeUs until) const;
  void AddSoundViolations(std::vector<std::string>* all) const;

  std::map<std::string, LedgerEntry> entries_;
  std::map<std::string, std::string> made_for_;  // Attempt by result.
  std::vector<std::string> violations_;
  std::size_t open_ = 0;
  RetryJudge retry_judge_;
  CrashJudge crash_judge_;
  std::map<std::size_t, TimeUs> in_touch_from_;  // By gateway.
  // Arrivals with a deadline, and those whose deadline was missing or ended
  // too long after the client's.
  std::size_t arrivals_ = 0;
  std::size_t deadlines_too_long_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_LEDGER_H_
