#include "tests/soak/ledger.h"

#include <limits>
#include <set>
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

// How long after the client's deadline the one handed to a replica may end, and
// how many arrivals may exceed that.
constexpr DurationUs kMaxDeadlineExcess = 500 * kMillisecond;
constexpr std::size_t kMaxLongDeadlines = 20;
constexpr double kMaxLongDeadlineShare = 0.2;

// Number of attempts that may run more often than `max_attempts` of their
// route.
constexpr int kMaxOverAttempted = 3;

constexpr int kOk = 200;

// Attempts sent this long before a replica ends are not broken off by it.
constexpr DurationUs kLongestDeadline = 6 * kSecond;

// Sound attempts beside what ends replicas begin at least this share as often
// as before, if there are enough of both.
constexpr double kMinBegunShare = 0.5;
constexpr std::size_t kMinJudged = 20;

}  // namespace

void Ledger::OnSent(const std::string& id,
                    LedgerEntry entry,
                    const std::vector<std::string>& services) {
  for (const auto& it : services) {
    retry_judge_.OnRequest(entry.sent_at, it);
  }
  entry.in_touch = entry.sent_at >= in_touch_from_[entry.gateway];
  entries_[id] = std::move(entry);
  ++open_;
}

void Ledger::OnRequestArrived(TimeUs now,
                              const std::string& service,
                              const std::string& id,
                              DurationUs time_left) {
  retry_judge_.OnArrival(now, service, id);
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return;  // `OnRun` reports it.
  }
  ++arrivals_;
  const TimeUs client_deadline = it->second.sent_at + it->second.deadline;
  if (time_left < 0 || now + time_left > client_deadline + kMaxDeadlineExcess) {
    ++deadlines_too_long_;
  }
}

void Ledger::OnPieceArrived(TimeUs now,
                            const std::string& service,
                            const std::string& piece) {
  retry_judge_.OnArrival(now, service, piece);
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

void Ledger::OnResultMade(const std::string& handle, const std::string& id) {
  made_for_[handle] = id;
}

void Ledger::OnInputUsed(const std::string& id, const std::string& handle) {
  const auto it = made_for_.find(handle);
  if (it != made_for_.end() && it->second != id) {
    OnViolation(StrCat("was given a result that was made for ", it->second),
                id);
  }
}

void Ledger::OnUnknownEnd(const std::string& id) {
  if (const auto it = entries_.find(id); it != entries_.end()) {
    it->second.unknown_end = true;
  }
}

void Ledger::OnEnded(TimeUs now,
                     const std::string& id,
                     int status,
                     AnswerEnd end,
                     bool whole,
                     const std::string& problem) {
  LedgerEntry& entry = entries_.at(id);
  if (entry.ended) {
    OnViolation("ended twice", id);
    return;
  }
  entry.ended = true;
  entry.ended_at = now;
  entry.status = status;
  entry.end = end;
  entry.answer_complete = end != AnswerEnd::kBroken && (whole || status != kOk);
  --open_;
  if (!problem.empty()) {
    OnViolation(problem, id);
  }
  const bool may_be_short = end == AnswerEnd::kBroken ||
                            (end == AnswerEnd::kClosed && entry.unknown_end);
  if (status == kOk && !whole && !may_be_short) {
    OnViolation(
        StrCat("got a 200 with an incomplete body that ends with ", Name(end)),
        id);
  }
}

void Ledger::OnViolation(const std::string& violation, const std::string& id) {
  violations_.push_back(StrCat(id, ": ", violation));
}

BegunShare Ledger::BegunBetween(const std::string& key,
                                TimeUs from,
                                TimeUs until) const {
  BegunShare out;
  for (const auto& [id, it] : entries_) {
    if (it.beside == key && it.in_touch && it.sent_at >= from &&
        it.sent_at < until) {
      ++out.sent;
      out.begun += it.status == kOk ? 1 : 0;
    }
  }
  return out;
}

BegunShare Ledger::BegunBefore(const std::string& key) const {
  const auto first = crash_judge_.FirstDeath(key);
  return first ? BegunBetween(key, 0, *first - kLongestDeadline) : BegunShare();
}

BegunShare Ledger::BegunAfter(const std::string& key) const {
  const auto last = crash_judge_.LastAllowedDeath(key);
  return last ? BegunBetween(key, *last + kSoundAgainDelay,
                             std::numeric_limits<TimeUs>::max())
              : BegunShare();
}

void Ledger::AddSoundViolations(std::vector<std::string>* all) const {
  std::set<std::string> keys;
  for (const auto& [id, it] : entries_) {
    keys.insert(it.beside);
  }
  for (const std::string& key : keys) {
    const BegunShare before = BegunBefore(key);
    const BegunShare after = BegunAfter(key);
    if (before.sent >= kMinJudged && after.sent >= kMinJudged &&
        after.share() < kMinBegunShare * before.share()) {
      all->push_back(StrCat(after.begun, " of ", after.sent,
                            " sound attempts beside ", key, " began, ",
                            before.begun, " of ", before.sent, " before"));
    }
  }
}

std::vector<std::string> Ledger::Violations() const {
  std::vector<std::string> all = violations_;
  AddSoundViolations(&all);
  for (auto& it : crash_judge_.Violations()) {
    all.push_back(std::move(it));
  }
  int over_attempted = 0;
  for (const auto& [id, it] : entries_) {
    if (it.runs > static_cast<int>(it.max_attempts)) {
      ++over_attempted;
    }
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
  if (over_attempted > kMaxOverAttempted) {
    all.push_back(StrCat(over_attempted,
                         " attempts ran more often than max_attempts allows"));
  }
  if (deadlines_too_long_ > kMaxLongDeadlines &&
      static_cast<double>(deadlines_too_long_) >
          kMaxLongDeadlineShare * static_cast<double>(arrivals_)) {
    all.push_back(StrCat(deadlines_too_long_, " of ", arrivals_,
                         " arrivals had more time left than their client"));
  }
  for (const RetryWindow& it : WorstRetryWindows()) {
    if (it.Exceeded()) {
      all.push_back(StrCat("retry budget of ", it.service, ": ", it.retries,
                           " retries arrived within the window that ends at ",
                           it.end / kMillisecond, " ms, ",
                           static_cast<int>(it.allowed), " are allowed for ",
                           it.requests, " requests"));
    }
  }
  return all;
}

std::map<std::string, int> Ledger::Ends() const {
  std::map<std::string, int> out;
  for (const auto& [id, it] : entries_) {
    if (it.ended && it.status == kOk) {
      ++out[StrCat(Name(it.end), it.answer_complete ? "" : " short")];
    }
  }
  return out;
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
