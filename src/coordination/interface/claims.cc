#include "coordination/interface/claims.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "coordination/interface/claim_batch.h"
#include "state/claim.h"
#include "text.h"

namespace acaciachute {
namespace {

// Maximum number of writes of one claim. A write without an answer is repeated
// under the same nonce. Three attempts outlast a single lost answer; a longer
// failure is an outage, and the caller is answered at once instead of at the
// deadline.
constexpr int kMaxClaimWrites = 3;
// Maximum number of times that one request claims a refused row anew; a request
// that loses more races than that competes with copies that are being served.
constexpr int kMaxReclaims = 3;

// Initial and maximum interval at which a waiting copy reads the holder's row:
// first the duration of a short stage, then low enough that a thousand waiting
// copies do not overload the table.
constexpr DurationUs kInitialPollInterval = 20 * kMillisecond;
constexpr DurationUs kMaxPollInterval = 500 * kMillisecond;

// Initial and maximum delay between writes of an outcome, and the total time of
// retries. An outcome is retried until it is in the table, through the longest
// outage that the platform plans for (an hour) with a margin. The delay grows,
// so an outage costs an entry a few transactions per five seconds.
constexpr DurationUs kInitialOutcomeRetryDelay = 100 * kMillisecond;
constexpr DurationUs kMaxOutcomeRetryDelay = 5 * kSecond;
constexpr DurationUs kOutcomeRetryDuration = 90 * 60 * kSecond;
// Limits on outcomes that wait to be written, by number and total size. Beyond
// them the oldest outcome is dropped, and its callers receive "may have run"
// from the claim left in the table.
constexpr std::size_t kMaxUnsettledOutcomes = 8192;
constexpr std::size_t kMaxUnsettledBytes = 16 << 20;
// Maximum size of an answer that is stored in the claim row; a larger one
// cannot be retrieved after a lost reply.
constexpr std::size_t kMaxStoredAnswerBytes = 1 << 20;

constexpr TimeUs kNever = std::numeric_limits<TimeUs>::max();

enum class Phase {
  kClaiming,  // The write of the claim is not answered yet.
  kHeld,      // This entry holds the claim; the request runs.
  // Another entry holds the claim; its row is polled for the answer.
  kPolling,
  kSettling,  // The request ended; its outcome is being written.
};

// State of one claim row as known to this entry.
struct RowState {
  std::string key;
  // Distinguishes this state from an earlier one of the same row.
  std::uint64_t serial = 0;
  Phase phase = Phase::kClaiming;
  // The claim of this entry, as written or to be written.
  Claim claim;
  // Version that the next write replaces; zero: the row is inserted.
  std::uint64_t base_version = 0;
  // A write of this entry had no answer: it may have been applied or may still
  // be.
  bool may_be_applied = false;
  int write_attempts = 0;
  int reclaims = 0;
  std::optional<RequestId> owner;
  // Waiting copies of the request, all with the claim's body.
  std::vector<RequestId> waiters;
  bool in_flight = false;
  // Claim state in the write that is in flight.
  ClaimState state_in_flight = ClaimState::kClaimed;
  TimeUs due = kNever;
  DurationUs retry_delay = 0;
  TimeUs retry_until = 0;
};

// Returns the answer to a later or concurrent copy, by the state of the claim.
CallerAnswer AnswerFromClaim(const Claim& claim) {
  switch (claim.state) {
    case ClaimState::kAnswered: {
      CallerAnswer answer;
      answer.verdict = Verdict::kAnswered;
      answer.body = claim.answer;
      answer.replayed = true;
      return answer;
    }
    case ClaimState::kRefused:
      return MakeRefusal(Verdict::kNotRun, claim.reason, kThisCopyNotRun);
    case ClaimState::kMayHaveRun:
      return MakeRefusal(Verdict::kMayHaveRun, claim.reason,
                         "an earlier copy may have run", 0);
    case ClaimState::kClaimed:
      break;
  }
  return MakeRefusal(Verdict::kMayHaveRun, Refusal::kInProgress,
                     StrCat("claimed by ", claim.holder));
}

CallerAnswer HolderStoppedAnswer() {
  return MakeRefusal(Verdict::kMayHaveRun, Refusal::kInProgress,
                     "the entry that ran the request has stopped", 0);
}

CallerAnswer KeyReusedAnswer() {
  return MakeRefusal(Verdict::kNotRun, Refusal::kKeyReused);
}

// Answer when the table is unavailable. This copy has not run and will not;
// whether an earlier copy ran is known only to the table.
CallerAnswer StoreDownAnswer() {
  return MakeRefusal(Verdict::kNotRun, Refusal::kStoreDown, kThisCopyNotRun);
}

}  // namespace

struct Claims::Impl {
  Impl(ClaimOptions options,
       StoreCalls* calls,
       ClaimEvents* events,
       Random* random,
       Metrics* metrics)
      : options(std::move(options)),
        events(events),
        random(random),
        metrics(metrics),
        writes(calls, metrics, this->options.transactions_per_second),
        reads(calls, metrics, this->options.transactions_per_second) {}

  void Join(TimeUs now, RowState& row, const ClaimSubject& subject);
  void Write(TimeUs now, RowState& row);
  void OnWritten(TimeUs now,
                 const std::string& key,
                 std::uint64_t serial,
                 StoreStatus status,
                 const StoreRow& table_row);
  void OnClaimWritten(TimeUs now,
                      RowState& row,
                      StoreStatus status,
                      const StoreRow& table_row);
  void OnRowConflict(TimeUs now, RowState& row, const StoreRow& table_row);
  void Hold(TimeUs now, RowState& row, std::uint64_t version);
  void Reclaim(TimeUs now, RowState& row, const StoreRow& table_row);
  void StartPolling(TimeUs now, RowState& row);
  void Poll(TimeUs now, RowState& row);
  void OnPolled(TimeUs now,
                const std::string& key,
                std::uint64_t serial,
                StoreStatus status,
                const StoreRow& table_row);
  void Settle(TimeUs now, RowState& row, const CallerAnswer& answer);
  void OnOutcomeWritten(TimeUs now,
                        RowState& row,
                        StoreStatus status,
                        const StoreRow& table_row);
  void DropOutcomesOverLimit();
  void AnswerAll(TimeUs now, RowState& row, const CallerAnswer& answer);
  void Schedule(RowState& row, TimeUs due);
  void Forget(RowState& row);
  RowState* Find(const std::string& key, std::uint64_t serial);

  const ClaimOptions options;
  ClaimEvents* const events;
  Random* const random;
  Metrics* const metrics;
  ClaimBatch writes;
  ClaimBatch reads;
  std::uint64_t next_serial = 1;
  absl::flat_hash_map<std::string, std::unique_ptr<RowState>> rows;
  absl::flat_hash_map<RequestId, std::string> by_request;
  std::set<std::pair<TimeUs, std::string>> due;
  // Rows in `Phase::kSettling` by serial, the oldest first.
  std::map<std::uint64_t, std::string> settling;
  std::size_t unsettled_bytes = 0;
};

RowState* Claims::Impl::Find(const std::string& key, std::uint64_t serial) {
  const auto it = rows.find(key);
  return it == rows.end() || it->second->serial != serial ? nullptr
                                                          : it->second.get();
}

void Claims::Impl::Schedule(RowState& row, TimeUs at) {
  if (row.due != kNever) {
    due.erase({row.due, row.key});
  }
  row.due = at;
  if (at != kNever) {
    due.emplace(at, row.key);
  }
}

void Claims::Impl::Forget(RowState& row) {
  Schedule(row, kNever);
  if (row.phase == Phase::kSettling) {
    settling.erase(row.serial);
    unsettled_bytes -= row.claim.answer.size();
  }
  const std::string key = row.key;
  rows.erase(key);
}

// Answers all requests that wait for this row. The row is forgotten unless its
// outcome is still being written.
void Claims::Impl::AnswerAll(TimeUs now,
                             RowState& row,
                             const CallerAnswer& answer) {
  std::vector<RequestId> ids;
  if (row.owner) {
    ids.push_back(*row.owner);
  }
  ids.insert(ids.end(), row.waiters.begin(), row.waiters.end());
  row.owner.reset();
  row.waiters.clear();
  if (row.phase != Phase::kSettling) {
    Forget(row);
  }
  for (const RequestId& id : ids) {
    by_request.erase(id);
  }
  for (const RequestId& id : ids) {
    events->OnClaimAnswer(now, id, answer);
  }
}

// Adds a copy of a request that this entry already tracks; it needs no write.
void Claims::Impl::Join(TimeUs now,
                        RowState& row,
                        const ClaimSubject& subject) {
  if (row.claim.body_hash != subject.body_hash) {
    events->OnClaimAnswer(now, subject.id, KeyReusedAnswer());
    return;
  }
  if (row.phase == Phase::kSettling) {
    if (row.claim.state == ClaimState::kRefused && !row.in_flight) {
      Schedule(row, now);
    }
    events->OnClaimAnswer(now, subject.id, AnswerFromClaim(row.claim));
    return;
  }
  by_request[subject.id] = row.key;
  row.waiters.push_back(subject.id);
  events->OnClaimHeldElsewhere(now, subject.id);
  // Whichever of the two ends first, the other may still run.
  if (row.phase == Phase::kClaiming) {
    events->OnClaimHeldElsewhere(now, *row.owner);
  }
}

void Claims::Impl::Write(TimeUs now, RowState& row) {
  ++row.write_attempts;
  row.in_flight = true;
  row.state_in_flight = row.claim.state;
  StoreOp op;
  op.kind = row.base_version == 0 ? StoreOpKind::kInsert : StoreOpKind::kUpdate;
  op.key = row.key;
  op.value = EncodeClaim(row.claim);
  op.version = row.base_version;
  writes.Add(now, std::move(op),
             [this, key = row.key, serial = row.serial](
                 TimeUs at, StoreStatus status, const StoreRow& table_row) {
               OnWritten(at, key, serial, status, table_row);
             });
}

void Claims::Impl::OnWritten(TimeUs now,
                             const std::string& key,
                             std::uint64_t serial,
                             StoreStatus status,
                             const StoreRow& table_row) {
  RowState* row = Find(key, serial);
  if (row == nullptr) {
    return;
  }
  row->in_flight = false;
  if (row->phase == Phase::kSettling) {
    OnOutcomeWritten(now, *row, status, table_row);
  } else {
    OnClaimWritten(now, *row, status, table_row);
  }
}

// Handles the result of the claim's write. If its answer was lost after the
// write took effect, the entry cannot distinguish its own claim from another's.
// The same write is sent again under the same nonce: either it succeeds, and
// the lost write can no longer be applied, or the row in the table carries this
// nonce, and the claim is held.
void Claims::Impl::OnClaimWritten(TimeUs now,
                                  RowState& row,
                                  StoreStatus status,
                                  const StoreRow& table_row) {
  if (status == StoreStatus::kOk) {
    Hold(now, row, table_row.version);
    return;
  }
  if (status == StoreStatus::kConflict) {
    OnRowConflict(now, row, table_row);
    return;
  }
  row.may_be_applied = row.may_be_applied || status == StoreStatus::kUnknown;
  if (status == StoreStatus::kUnknown && row.write_attempts < kMaxClaimWrites) {
    metrics->Count("acaciachute_claim_retries_total");
    Write(now, row);
    return;
  }
  // No stage runs before the claim is confirmed, so the answer is "not run"
  // even if the write is applied later; the outcome is then written after the
  // answer.
  if (row.may_be_applied) {
    Settle(now, row, StoreDownAnswer());
  }
  AnswerAll(now, row, StoreDownAnswer());
}

void Claims::Impl::OnRowConflict(TimeUs now,
                                 RowState& row,
                                 const StoreRow& table_row) {
  const auto other = DecodeClaim(table_row.value);
  if (!other.ok()) {
    metrics->Count("acaciachute_claim_rows_unreadable_total");
    AnswerAll(now, row,
              MakeRefusal(Verdict::kMayHaveRun, Refusal::kInProgress,
                          std::string(other.status().message()), 0));
    return;
  }
  if (other->nonce == row.claim.nonce && other->state == ClaimState::kClaimed) {
    Hold(now, row, table_row.version);
    return;
  }
  if (other->body_hash != row.claim.body_hash) {
    AnswerAll(now, row, KeyReusedAnswer());
    return;
  }
  if (other->state == ClaimState::kRefused && row.reclaims < kMaxReclaims) {
    Reclaim(now, row, table_row);
    return;
  }
  // The holder is a previous incarnation of this process and cannot finish.
  const bool holder_stopped = other->state == ClaimState::kClaimed &&
                              other->holder == options.node &&
                              other->holder_incarnation != options.incarnation;
  if (other->state == ClaimState::kClaimed && !holder_stopped) {
    StartPolling(now, row);
    return;
  }
  AnswerAll(now, row,
            holder_stopped ? HolderStoppedAnswer() : AnswerFromClaim(*other));
}

void Claims::Impl::Hold(TimeUs now, RowState& row, std::uint64_t version) {
  row.phase = Phase::kHeld;
  row.base_version = version;
  row.may_be_applied = false;
  events->OnClaimHeld(now, *row.owner);
}

// Claims a refused row anew. Nothing ran or will run under it: its holder never
// ran, and every write of that holder is conditional on a version that this
// write replaces.
void Claims::Impl::Reclaim(TimeUs now,
                           RowState& row,
                           const StoreRow& table_row) {
  metrics->Count("acaciachute_claim_reclaims_total");
  ++row.reclaims;
  row.base_version = table_row.version;
  row.may_be_applied = false;
  row.write_attempts = 0;
  Write(now, row);
}

void Claims::Impl::StartPolling(TimeUs now, RowState& row) {
  metrics->Count("acaciachute_claim_waits_total");
  row.phase = Phase::kPolling;
  const RequestId id = *row.owner;
  row.waiters.insert(row.waiters.begin(), id);
  row.owner.reset();
  row.retry_delay = kInitialPollInterval;
  Schedule(row, now + row.retry_delay);
  events->OnClaimHeldElsewhere(now, id);
}

void Claims::Impl::Poll(TimeUs now, RowState& row) {
  row.in_flight = true;
  reads.Add(now, {StoreOpKind::kRead, row.key, "", 0},
            [this, key = row.key, serial = row.serial](
                TimeUs at, StoreStatus status, const StoreRow& table_row) {
              OnPolled(at, key, serial, status, table_row);
            });
}

void Claims::Impl::OnPolled(TimeUs now,
                            const std::string& key,
                            std::uint64_t serial,
                            StoreStatus status,
                            const StoreRow& table_row) {
  RowState* row = Find(key, serial);
  if (row == nullptr) {
    return;
  }
  row->in_flight = false;
  const auto other = DecodeClaim(table_row.value);
  if (status == StoreStatus::kOk && other.ok() &&
      other->state != ClaimState::kClaimed) {
    AnswerAll(now, *row, AnswerFromClaim(*other));
    return;
  }
  row->retry_delay = std::min(kMaxPollInterval, 2 * row->retry_delay);
  Schedule(*row, now + row->retry_delay);
}

void Claims::Impl::Settle(TimeUs now,
                          RowState& row,
                          const CallerAnswer& answer) {
  row.phase = Phase::kSettling;
  row.claim.reason = answer.reason;
  row.claim.state = answer.verdict == Verdict::kAnswered ? ClaimState::kAnswered
                    : answer.verdict == Verdict::kNotRun
                        ? ClaimState::kRefused
                        : ClaimState::kMayHaveRun;
  if (answer.body.size() <= kMaxStoredAnswerBytes) {
    row.claim.answer = answer.body;
  } else {
    metrics->Count("acaciachute_claim_answers_too_large_total");
    row.claim.state = ClaimState::kMayHaveRun;
    row.claim.reason = Refusal::kTooLarge;
  }
  row.retry_delay = kInitialOutcomeRetryDelay;
  row.retry_until = now + kOutcomeRetryDuration;
  unsettled_bytes += row.claim.answer.size();
  settling[row.serial] = row.key;
  // The answer to a claim's write in flight carries the version that the
  // outcome replaces.
  if (!row.in_flight) {
    Write(now, row);
  }
  DropOutcomesOverLimit();
}

// Handles the result of an outcome's write. If that write has no answer, or the
// claim's write is applied after its request was given up, the row would stay
// "claimed" for ever and its callers would receive "may have run", though the
// answer was given or nothing ran. So the outcome is retried until it is
// confirmed; each write is conditional on the version it replaces, so a delayed
// one has no effect.
void Claims::Impl::OnOutcomeWritten(TimeUs now,
                                    RowState& row,
                                    StoreStatus status,
                                    const StoreRow& table_row) {
  if (status == StoreStatus::kOk) {
    // The write in flight was the claim's, sent before the request ended.
    if (row.state_in_flight != row.claim.state) {
      row.base_version = table_row.version;
      Write(now, row);
      return;
    }
    Forget(row);
    return;
  }
  if (status == StoreStatus::kConflict) {
    const auto other = DecodeClaim(table_row.value);
    const bool ours = other.ok() && other->nonce == row.claim.nonce &&
                      other->state == ClaimState::kClaimed;
    if (ours && table_row.version != row.base_version) {
      row.base_version = table_row.version;
      Write(now, row);
      return;
    }
    Forget(row);
    return;
  }
  if (now >= row.retry_until) {
    metrics->Count("acaciachute_outcomes_dropped_total");
    Forget(row);
    return;
  }
  metrics->Count("acaciachute_outcome_retries_total");
  Schedule(row, now + row.retry_delay);
  row.retry_delay = std::min(kMaxOutcomeRetryDelay, 2 * row.retry_delay);
}

// Drops the oldest outcomes beyond the limits. The outcome added last is never
// dropped: one answer is smaller than the limit.
void Claims::Impl::DropOutcomesOverLimit() {
  while (settling.size() > kMaxUnsettledOutcomes ||
         unsettled_bytes > kMaxUnsettledBytes) {
    metrics->Count("acaciachute_outcomes_dropped_total");
    Forget(*rows[settling.begin()->second]);
  }
}

Claims::Claims(ClaimOptions options,
               StoreCalls* calls,
               ClaimEvents* events,
               Random* random,
               Metrics* metrics)
    : impl_(std::make_unique<Impl>(std::move(options),
                                   calls,
                                   events,
                                   random,
                                   metrics)) {}
Claims::~Claims() = default;

void Claims::Acquire(TimeUs now, const ClaimSubject& subject) {
  std::string key = ClaimRowKey(subject.account, subject.key);
  const auto it = impl_->rows.find(key);
  if (it != impl_->rows.end()) {
    impl_->Join(now, *it->second, subject);
    return;
  }
  auto owned = std::make_unique<RowState>();
  RowState& row = *owned;
  row.key = key;
  row.serial = impl_->next_serial++;
  row.owner = subject.id;
  row.claim.body_hash = subject.body_hash;
  row.claim.nonce = impl_->random->Next();
  row.claim.holder = impl_->options.node;
  row.claim.holder_incarnation = impl_->options.incarnation;
  impl_->by_request[subject.id] = key;
  impl_->rows[std::move(key)] = std::move(owned);
  impl_->Write(now, row);
}

void Claims::End(TimeUs now, RequestId id, const CallerAnswer& answer) {
  const auto it = impl_->by_request.find(id);
  if (it == impl_->by_request.end()) {
    return;
  }
  RowState& row = *impl_->rows[it->second];
  impl_->by_request.erase(it);
  if (row.owner != id) {
    std::erase(row.waiters, id);
    if (row.phase == Phase::kPolling && row.waiters.empty()) {
      impl_->Forget(row);
    }
    return;
  }
  row.owner.reset();
  // Nothing ran yet, so the first waiting copy takes over the claim.
  if (row.phase == Phase::kClaiming && !row.waiters.empty()) {
    row.owner = row.waiters.front();
    row.waiters.erase(row.waiters.begin());
    return;
  }
  impl_->Settle(now, row, answer);
  // A copy of the answer is passed, because the row stays until its outcome is
  // confirmed.
  const CallerAnswer stored_answer = AnswerFromClaim(row.claim);
  impl_->AnswerAll(now, row, stored_answer);
}

void Claims::LookUpStatus(TimeUs now,
                          CallerHandle handle,
                          std::string_view account,
                          std::string_view key) {
  std::string row_key = ClaimRowKey(account, key);
  const auto it = impl_->rows.find(row_key);
  // A request refused at this entry may have run at another one, so the table
  // is read.
  if (it != impl_->rows.end() && it->second->phase != Phase::kPolling &&
      it->second->claim.state != ClaimState::kRefused) {
    impl_->events->OnClaimStatus(handle, AnswerFromClaim(it->second->claim));
    return;
  }
  impl_->reads.Add(
      now, {StoreOpKind::kRead, std::move(row_key), "", 0},
      [this, handle](TimeUs, StoreStatus status, const StoreRow& row) {
        if (status != StoreStatus::kOk) {
          impl_->events->OnClaimStatus(
              handle, MakeRefusal(Verdict::kMayHaveRun, Refusal::kStoreDown,
                                  "the store does not answer; the status of "
                                  "the request is unknown"));
        } else if (row.version == 0) {
          // A copy may still arrive, and idempotent requests leave no row.
          impl_->events->OnClaimStatus(
              handle, MakeRefusal(Verdict::kMayHaveRun, Refusal::kNotFound,
                                  "no request has run under this key so far"));
        } else if (const auto claim = DecodeClaim(row.value); claim.ok()) {
          impl_->events->OnClaimStatus(handle, AnswerFromClaim(*claim));
        } else {
          impl_->events->OnClaimStatus(
              handle, MakeRefusal(Verdict::kMayHaveRun, Refusal::kInProgress,
                                  std::string(claim.status().message()), 0));
        }
      });
}

void Claims::OnTick(TimeUs now) {
  impl_->writes.OnTick(now);
  impl_->reads.OnTick(now);
  while (!impl_->due.empty() && impl_->due.begin()->first <= now) {
    RowState& row = *impl_->rows[impl_->due.begin()->second];
    impl_->Schedule(row, kNever);
    if (row.phase == Phase::kPolling) {
      impl_->Poll(now, row);
    } else {
      impl_->Write(now, row);
    }
  }
}

TimeUs Claims::NextWakeup() const {
  TimeUs next = std::min(impl_->writes.NextWakeup(), impl_->reads.NextWakeup());
  if (!impl_->due.empty()) {
    next = std::min(next, impl_->due.begin()->first);
  }
  return next;
}

std::size_t Claims::UnsettledOutcomes() const {
  return impl_->settling.size();
}

}  // namespace acaciachute
