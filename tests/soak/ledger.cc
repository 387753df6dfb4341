#include "tests/soak/ledger.h"

#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

// Statuses that guarantee that the attempt has not run and will not run.
bool GuaranteesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Maximum time from the deadline of an attempt until it must have ended.
constexpr DurationUs kMaxEndDelay = 1500 * kMillisecond;

}  // namespace

void Ledger::OnSent(const std::string& id, LedgerEntry entry) {
  entries_[id] = std::move(entry);
  ++open_;
}

void Ledger::OnRun(const std::string& id, const std::string& account) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    OnViolation("ran although no client sent it", id);
    return;
  }
  LedgerEntry& entry = it->second;
  ++entry.runs;
  if (account != entry.account) {
    OnViolation(StrCat("ran for wrong account '", account, "'"), id);
  }
  if (entry.ended && entry.status != 0 && GuaranteesNotRun(entry.status)) {
    OnViolation("ran after it was refused as not run", id);
  }
}

void Ledger::OnEnded(TimeUs now,
                     const std::string& id,
                     int status,
                     bool answer_complete) {
  LedgerEntry& entry = entries_.at(id);
  if (entry.ended) {
    OnViolation("ended twice", id);
    return;
  }
  entry.ended = true;
  entry.ended_at = now;
  entry.status = status;
  entry.answer_complete = answer_complete;
  --open_;
}

void Ledger::OnViolation(const std::string& violation, const std::string& id) {
  violations_.push_back(StrCat(id, ": ", violation));
}

std::vector<std::string> Ledger::Violations() const {
  std::vector<std::string> all = violations_;
  for (const auto& [id, it] : entries_) {
    if (!it.idempotent && it.runs > 1) {
      all.push_back(StrCat(id, ": ran ", it.runs, " times"));
    }
    if (!it.idempotent && it.runs > 0 && GuaranteesNotRun(it.status)) {
      all.push_back(StrCat(id, ": ran although it was refused as not run with ",
                           it.status));
    }
    if (it.ended && it.ended_at - it.sent_at > it.deadline + kMaxEndDelay) {
      all.push_back(StrCat(id, ": ended ",
                           (it.ended_at - it.sent_at) / kMillisecond,
                           " ms after it was sent"));
    }
  }
  return all;
}

std::map<std::string, std::map<std::string, int>> Ledger::Outcomes() const {
  std::map<std::string, std::map<std::string, int>> out;
  for (const auto& [id, it] : entries_) {
    const std::string end = !it.ended        ? "open"
                            : it.status == 0 ? "cut"
                            : it.status == 200 && !it.answer_complete
                                ? "cut during the answer"
                                : StrCat(it.status);
    ++out[it.route][end];
  }
  return out;
}

}  // namespace acaciachute
