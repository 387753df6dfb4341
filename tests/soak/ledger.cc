#include "tests/soak/ledger.h"

#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

// These promise that the attempt has not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// From a client's deadline until its attempt must be over.
constexpr DurationUs kOverBy = 1500 * kMillisecond;

}  // namespace

void Ledger::OnSent(const std::string& id, LedgerEntry entry) {
  entries_[id] = std::move(entry);
  ++open_;
}

void Ledger::OnRun(const std::string& id, const std::string& account) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    OnBroken("runs what no client sent", id);
    return;
  }
  LedgerEntry& entry = it->second;
  ++entry.runs;
  if (account != entry.account) {
    OnBroken(StrCat("runs for account '", account, "'"), id);
  }
  if (entry.over && entry.status != 0 && PromisesNotRun(entry.status)) {
    OnBroken("runs after it was refused", id);
  }
}

void Ledger::OnOver(TimeUs now, const std::string& id, int status, bool whole) {
  LedgerEntry& entry = entries_.at(id);
  if (entry.over) {
    OnBroken("ends twice", id);
    return;
  }
  entry.over = true;
  entry.over_at = now;
  entry.status = status;
  entry.whole = whole;
  --open_;
}

void Ledger::OnBroken(const std::string& promise, const std::string& id) {
  broken_.push_back(StrCat(id, ": ", promise));
}

std::vector<std::string> Ledger::Broken() const {
  std::vector<std::string> all = broken_;
  for (const auto& [id, it] : entries_) {
    if (!it.may_repeat && it.runs > 1) {
      all.push_back(StrCat(id, ": ran ", it.runs, " times"));
    }
    if (!it.may_repeat && it.runs > 0 && PromisesNotRun(it.status)) {
      all.push_back(StrCat(id, ": ran, and was refused with ", it.status));
    }
    if (it.over && it.over_at - it.sent_at > it.deadline + kOverBy) {
      all.push_back(StrCat(id, ": over ",
                           (it.over_at - it.sent_at) / kMillisecond,
                           " ms after it was sent"));
    }
  }
  return all;
}

std::map<std::string, std::map<std::string, int>> Ledger::Outcomes() const {
  std::map<std::string, std::map<std::string, int>> out;
  for (const auto& [id, it] : entries_) {
    const std::string end = !it.over                        ? "open"
                            : it.status == 0                ? "cut"
                            : it.status == 200 && !it.whole ? "cut in answer"
                                                            : StrCat(it.status);
    ++out[it.route][end];
  }
  return out;
}

}  // namespace acaciachute
