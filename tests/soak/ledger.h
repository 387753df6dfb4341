// Records the attempts that clients sent, the answers they received and the
// runs at replicas, and finds violations of the guarantees. Uses only what
// clients and replicas observe.
#ifndef ACACIACHUTE_TESTS_SOAK_LEDGER_H_
#define ACACIACHUTE_TESTS_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// One attempt of a client.
struct LedgerEntry {
  std::string route;
  std::string account;
  bool idempotent = false;  // May run more than once.
  TimeUs sent_at = 0;
  DurationUs deadline = 0;
  int runs = 0;        // At replicas.
  bool ended = false;  // The client has its answer or lost its connection.
  TimeUs ended_at = 0;
  int status = 0;  // HTTP status; zero: the connection ended without answer.
  bool answer_complete = false;  // The answer was complete.
};

// All attempts of a soak, by attempt id.
class Ledger {
 public:
  void OnSent(const std::string& id, LedgerEntry entry);
  // A replica starts to run the attempt, for `account`.
  void OnRun(const std::string& id, const std::string& account);
  // The client received its answer, or its connection broke.
  void OnEnded(TimeUs now,
               const std::string& id,
               int status,
               bool answer_complete);
  // A client or replica observed a violation.
  void OnViolation(const std::string& violation, const std::string& id);

  // All violations, each as one line with the id of the attempt.
  std::vector<std::string> Violations() const;
  // Number of attempts by route and outcome, for the summary.
  std::map<std::string, std::map<std::string, int>> Outcomes() const;
  // Attempts that have not ended.
  std::size_t open() const { return open_; }
  std::size_t sent() const { return entries_.size(); }

 private:
  std::map<std::string, LedgerEntry> entries_;
  std::vector<std::string> violations_;
  std::size_t open_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_LEDGER_H_
