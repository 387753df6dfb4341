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

// A claim whose answer is lost is written again under the same nonce. Three
// tries outlast a single lost answer; a longer silence is an outage, and the
// caller is told at once instead of at the deadline.
constexpr int kClaimTries = 3;
// A refused row is claimed anew at most this often for one request; losing
// more races than that means that other copies are being served.
constexpr int kReclaims = 3;

// A copy reads the holder's row at first as often as a short stage takes, then
// at a rate that a thousand waiting copies do not load the table with.
constexpr DurationUs kFirstPoll = 20 * kMillisecond;
constexpr DurationUs kLongestPoll = 500 * kMillisecond;

// Outcomes are written until they stand, through the longest outage that the
// platform plans for (an hour) and some more. The pause between tries grows, so
// an outage costs an entry a few transactions in five seconds.
constexpr DurationUs kFirstSettlePause = 100 * kMillisecond;
constexpr DurationUs kLongestSettlePause = 5 * kSecond;
constexpr DurationUs kSettleFor = 90 * 60 * kSecond;
// Bounds on what waits to be written; beyond them the oldest is given up, and
// its callers are told "may have run" from the claim that stands.
constexpr std::size_t kMaxUnsettled = 8192;
constexpr std::size_t kMaxUnsettledBytes = 16 << 20;
// An answer above this is not kept for a lost reply.
constexpr std::size_t kMaxStoredAnswer = 1 << 20;

constexpr TimeUs kNever = std::numeric_limits<TimeUs>::max();

enum class Phase {
  kTaking,    // The claim's write is not answered yet.
  kHeld,      // Ours; the request runs.
  kPolling,   // Another's; its answer is read until it is there.
  kSettling,  // The request ended; its outcome is being written.
};

// What this entry knows of one row.
struct RowState {
  std::string key;
  std::uint64_t serial = 0;  // Tells a row state from its predecessor.
  Phase phase = Phase::kTaking;
  Claim claim;             // Ours, as written or to be written.
  std::uint64_t base = 0;  // Version that our write replaces; zero: none.
  // A write of ours had no answer and may stand or still land.
  bool may_stand = false;
  int tries = 0;
  int reclaims = 0;
  std::optional<RequestId> owner;
  std::vector<RequestId> waiters;  // Copies, all with the claim's body.
  bool in_flight = false;
  ClaimState written = ClaimState::kClaimed;  // By the write in flight.
  TimeUs due = kNever;
  DurationUs pause = 0;
  TimeUs settle_until = 0;
};

// What a claim row tells the caller of a later or concurrent copy.
CallerAnswer AnswerOf(const Claim& claim) {
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

CallerAnswer HolderGone() {
  return MakeRefusal(Verdict::kMayHaveRun, Refusal::kInProgress,
                     "the entry that ran it is gone", 0);
}

CallerAnswer KeyReused() {
  return MakeRefusal(Verdict::kNotRun, Refusal::kKeyReused);
}

// The table did not answer. Nothing of this copy ran or will, but whether an
// earlier copy ran is in the table.
CallerAnswer StoreDown() {
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
                 const StoreRow& stands);
  void OnTaken(TimeUs now,
               RowState& row,
               StoreStatus status,
               const StoreRow& stands);
  void OnRowStands(TimeUs now, RowState& row, const StoreRow& stands);
  void Hold(TimeUs now, RowState& row, std::uint64_t version);
  void Reclaim(TimeUs now, RowState& row, const StoreRow& stands);
  void StartPolling(TimeUs now, RowState& row);
  void Poll(TimeUs now, RowState& row);
  void OnPolled(TimeUs now,
                const std::string& key,
                std::uint64_t serial,
                StoreStatus status,
                const StoreRow& stands);
  void Settle(TimeUs now, RowState& row, const CallerAnswer& answer);
  void OnSettled(TimeUs now,
                 RowState& row,
                 StoreStatus status,
                 const StoreRow& stands);
  void BoundUnsettled();
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
  std::map<std::uint64_t, std::string> settling;  // By serial: oldest first.
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

// Tells everybody who waits for this row, which is forgotten.
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

// A copy of a request that this entry already knows needs no write.
void Claims::Impl::Join(TimeUs now,
                        RowState& row,
                        const ClaimSubject& subject) {
  if (row.claim.body_hash != subject.body_hash) {
    events->OnClaimAnswer(now, subject.id, KeyReused());
    return;
  }
  if (row.phase == Phase::kSettling) {
    if (row.claim.state == ClaimState::kRefused && !row.in_flight) {
      Schedule(row, now);
    }
    events->OnClaimAnswer(now, subject.id, AnswerOf(row.claim));
    return;
  }
  by_request[subject.id] = row.key;
  row.waiters.push_back(subject.id);
  events->OnClaimElsewhere(now, subject.id);
  // Whichever of the two ends first, the other may still run.
  if (row.phase == Phase::kTaking) {
    events->OnClaimElsewhere(now, *row.owner);
  }
}

void Claims::Impl::Write(TimeUs now, RowState& row) {
  ++row.tries;
  row.in_flight = true;
  row.written = row.claim.state;
  StoreOp op;
  op.kind = row.base == 0 ? StoreOpKind::kInsert : StoreOpKind::kUpdate;
  op.key = row.key;
  op.value = EncodeClaim(row.claim);
  op.version = row.base;
  writes.Add(now, std::move(op),
             [this, key = row.key, serial = row.serial](
                 TimeUs at, StoreStatus status, const StoreRow& stands) {
               OnWritten(at, key, serial, status, stands);
             });
}

void Claims::Impl::OnWritten(TimeUs now,
                             const std::string& key,
                             std::uint64_t serial,
                             StoreStatus status,
                             const StoreRow& stands) {
  RowState* row = Find(key, serial);
  if (row == nullptr) {
    return;
  }
  row->in_flight = false;
  if (row->phase == Phase::kSettling) {
    OnSettled(now, *row, status, stands);
  } else {
    OnTaken(now, *row, status, stands);
  }
}

// Failure: the answer to the claim's write is lost after it took effect.
// Symptom: the entry cannot tell its own claim from another's. The same write
// is sent again under the same nonce: either it holds, and the lost one can no
// longer, or the row that stands carries our nonce, and the claim is ours.
void Claims::Impl::OnTaken(TimeUs now,
                           RowState& row,
                           StoreStatus status,
                           const StoreRow& stands) {
  if (status == StoreStatus::kOk) {
    Hold(now, row, stands.version);
    return;
  }
  if (status == StoreStatus::kConflict) {
    OnRowStands(now, row, stands);
    return;
  }
  row.may_stand = row.may_stand || status == StoreStatus::kUnknown;
  if (status == StoreStatus::kUnknown && row.tries < kClaimTries) {
    metrics->Count("acaciachute_claim_retries_total");
    Write(now, row);
    return;
  }
  // No stage runs before a claim is known to stand, so this is "not run" even
  // if a write lands later; that one is settled after the answer.
  if (row.may_stand) {
    Settle(now, row, StoreDown());
  }
  AnswerAll(now, row, StoreDown());
}

void Claims::Impl::OnRowStands(TimeUs now,
                               RowState& row,
                               const StoreRow& stands) {
  const auto other = DecodeClaim(stands.value);
  if (!other.ok()) {
    metrics->Count("acaciachute_claim_rows_unreadable_total");
    AnswerAll(now, row,
              MakeRefusal(Verdict::kMayHaveRun, Refusal::kInProgress,
                          std::string(other.status().message()), 0));
    return;
  }
  if (other->nonce == row.claim.nonce && other->state == ClaimState::kClaimed) {
    Hold(now, row, stands.version);
    return;
  }
  if (other->body_hash != row.claim.body_hash) {
    AnswerAll(now, row, KeyReused());
    return;
  }
  if (other->state == ClaimState::kRefused && row.reclaims < kReclaims) {
    Reclaim(now, row, stands);
    return;
  }
  // A predecessor of this process held it and is dead.
  const bool dead = other->state == ClaimState::kClaimed &&
                    other->holder == options.node &&
                    other->holder_incarnation != options.incarnation;
  if (other->state == ClaimState::kClaimed && !dead) {
    StartPolling(now, row);
    return;
  }
  AnswerAll(now, row, dead ? HolderGone() : AnswerOf(*other));
}

void Claims::Impl::Hold(TimeUs now, RowState& row, std::uint64_t version) {
  row.phase = Phase::kHeld;
  row.base = version;
  row.may_stand = false;
  events->OnClaimHeld(now, *row.owner);
}

// Nothing ran under a refused row and nothing will: its holder never ran, and
// every write of its own is conditional on a version that is gone with ours.
void Claims::Impl::Reclaim(TimeUs now, RowState& row, const StoreRow& stands) {
  metrics->Count("acaciachute_claim_reclaims_total");
  ++row.reclaims;
  row.base = stands.version;
  row.may_stand = false;
  row.tries = 0;
  Write(now, row);
}

void Claims::Impl::StartPolling(TimeUs now, RowState& row) {
  metrics->Count("acaciachute_claim_waits_total");
  row.phase = Phase::kPolling;
  const RequestId id = *row.owner;
  row.waiters.insert(row.waiters.begin(), id);
  row.owner.reset();
  row.pause = kFirstPoll;
  Schedule(row, now + row.pause);
  events->OnClaimElsewhere(now, id);
}

void Claims::Impl::Poll(TimeUs now, RowState& row) {
  row.in_flight = true;
  reads.Add(now, {StoreOpKind::kRead, row.key, "", 0},
            [this, key = row.key, serial = row.serial](
                TimeUs at, StoreStatus status, const StoreRow& stands) {
              OnPolled(at, key, serial, status, stands);
            });
}

void Claims::Impl::OnPolled(TimeUs now,
                            const std::string& key,
                            std::uint64_t serial,
                            StoreStatus status,
                            const StoreRow& stands) {
  RowState* row = Find(key, serial);
  if (row == nullptr) {
    return;
  }
  row->in_flight = false;
  const auto other = DecodeClaim(stands.value);
  if (status == StoreStatus::kOk && other.ok() &&
      other->state != ClaimState::kClaimed) {
    AnswerAll(now, *row, AnswerOf(*other));
    return;
  }
  row->pause = std::min(kLongestPoll, 2 * row->pause);
  Schedule(*row, now + row->pause);
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
  if (answer.body.size() <= kMaxStoredAnswer) {
    row.claim.answer = answer.body;
  } else {
    metrics->Count("acaciachute_claim_answers_too_large_total");
    row.claim.state = ClaimState::kMayHaveRun;
    row.claim.reason = Refusal::kTooLarge;
  }
  row.pause = kFirstSettlePause;
  row.settle_until = now + kSettleFor;
  unsettled_bytes += row.claim.answer.size();
  settling[row.serial] = row.key;
  // The answer to a claim in flight says which row the outcome replaces.
  if (!row.in_flight) {
    Write(now, row);
  }
  BoundUnsettled();
}

// Failure: an outcome's write has no answer, or a claim's write landed after
// its request was given up. Symptom: the row says "claimed" for ever and its
// callers "may have run", though the answer was given or nothing ran. The
// outcome is written until it is seen to stand; each try is conditional on the
// version it replaces, so a late one changes nothing.
void Claims::Impl::OnSettled(TimeUs now,
                             RowState& row,
                             StoreStatus status,
                             const StoreRow& stands) {
  if (status == StoreStatus::kOk) {
    // The claim itself was still on its way when the request ended.
    if (row.written != row.claim.state) {
      row.base = stands.version;
      Write(now, row);
      return;
    }
    Forget(row);
    return;
  }
  if (status == StoreStatus::kConflict) {
    const auto other = DecodeClaim(stands.value);
    const bool ours = other.ok() && other->nonce == row.claim.nonce &&
                      other->state == ClaimState::kClaimed;
    if (ours && stands.version != row.base) {
      row.base = stands.version;
      Write(now, row);
      return;
    }
    Forget(row);
    return;
  }
  if (now >= row.settle_until) {
    metrics->Count("acaciachute_outcomes_dropped_total");
    Forget(row);
    return;
  }
  metrics->Count("acaciachute_outcome_retries_total");
  Schedule(row, now + row.pause);
  row.pause = std::min(kLongestSettlePause, 2 * row.pause);
}

// Never reaches the row that settles last: one answer is below the bound.
void Claims::Impl::BoundUnsettled() {
  while (settling.size() > kMaxUnsettled ||
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

void Claims::Take(TimeUs now, const ClaimSubject& subject) {
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
  // Nothing ran yet, so a waiting copy may go on with the same claim.
  if (row.phase == Phase::kTaking && !row.waiters.empty()) {
    row.owner = row.waiters.front();
    row.waiters.erase(row.waiters.begin());
    return;
  }
  impl_->Settle(now, row, answer);
  // Copies: the outcome is not forgotten before it stands.
  const CallerAnswer told = AnswerOf(row.claim);
  impl_->AnswerAll(now, row, told);
}

void Claims::Ask(TimeUs now,
                 CallerHandle handle,
                 std::string_view account,
                 std::string_view key) {
  std::string row_key = ClaimRowKey(account, key);
  const auto it = impl_->rows.find(row_key);
  // What is refused here may have run at another entry; the table knows.
  if (it != impl_->rows.end() && it->second->phase != Phase::kPolling &&
      it->second->claim.state != ClaimState::kRefused) {
    impl_->events->OnClaimStatus(handle, AnswerOf(it->second->claim));
    return;
  }
  impl_->reads.Add(
      now, {StoreOpKind::kRead, std::move(row_key), "", 0},
      [this, handle](TimeUs, StoreStatus status, const StoreRow& row) {
        if (status != StoreStatus::kOk) {
          impl_->events->OnClaimStatus(
              handle, MakeRefusal(Verdict::kMayHaveRun, Refusal::kStoreDown,
                                  "what became of it cannot be read now"));
        } else if (row.version == 0) {
          // A copy may still be on its way, and idempotent requests leave none.
          impl_->events->OnClaimStatus(
              handle, MakeRefusal(Verdict::kMayHaveRun, Refusal::kNotFound,
                                  "nothing has run under this key so far"));
        } else if (const auto claim = DecodeClaim(row.value); claim.ok()) {
          impl_->events->OnClaimStatus(handle, AnswerOf(*claim));
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

std::size_t Claims::Unsettled() const {
  return impl_->settling.size();
}

}  // namespace acaciachute
