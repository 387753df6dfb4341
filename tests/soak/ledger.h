// What clients sent and heard and what replicas ran, and which promises that
// breaks. Judges only what outsiders of the system see.
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
  bool may_repeat = false;
  TimeUs sent_at = 0;
  DurationUs deadline = 0;
  int runs = 0;
  bool over = false;
  TimeUs over_at = 0;
  int status = 0;  // Zero: the connection ended without an answer.
  bool whole = false;
};

class Ledger {
 public:
  void OnSent(const std::string& id, LedgerEntry entry);
  // A replica begins to run the attempt for `account`.
  void OnRun(const std::string& id, const std::string& account);
  void OnOver(TimeUs now, const std::string& id, int status, bool whole);
  // A promise that some party saw broken itself.
  void OnBroken(const std::string& promise, const std::string& id);

  // Looks at all entries; each broken promise is one line with the id.
  std::vector<std::string> Broken() const;
  // How attempts of a route ended, for the summary.
  std::map<std::string, std::map<std::string, int>> Outcomes() const;
  std::size_t open() const { return open_; }
  std::size_t sent() const { return entries_.size(); }

 private:
  std::map<std::string, LedgerEntry> entries_;
  std::vector<std::string> broken_;
  std::size_t open_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_LEDGER_H_
