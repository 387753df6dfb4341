#include "coordination/tables/table_source.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

constexpr std::string_view kStore = "store";

}  // namespace

TableSource::TableSource(std::string table,
                         const FreshnessPlan* plan,
                         const GatewayPeers* peers,
                         StoreReader* store,
                         TableRelayOutput* output,
                         Random* random,
                         Metrics* metrics,
                         EventLog* log,
                         AnswerFn on_answer)
    : table_(std::move(table)),
      plan_(plan),
      peers_(peers),
      output_(output),
      random_(random),
      metrics_(metrics),
      log_(log),
      on_answer_(std::move(on_answer)),
      store_requests_(table_, store) {}

void TableSource::ReadRows(TimeUs now,
                           const std::string&,
                           const std::string& from) {
  Begin(now, {true, from, 0, 0});
}

void TableSource::ReadChanges(TimeUs now,
                              const std::string&,
                              std::uint64_t after,
                              DurationUs wait) {
  Begin(now, {false, "", after, wait});
}

bool TableSource::RelaysFail() const {
  return peer_failures_ >= kFailuresUntilStore;
}

bool TableSource::IsOld(TimeUs now) const {
  return now - known_at_ >= plan_->ask_store;
}

void TableSource::AskStoreWhenOld(TimeUs now) {
  const StoreRequests::Sent* const awaited = store_requests_.Awaited();
  const bool held = awaited != nullptr && awaited->query.wait > 0;
  if (!IsWanted() || known_at_ < 0 || !IsOld(now) || !MayAskStore(now) ||
      (awaited != nullptr && !held)) {
    return;
  }
  metrics_->Count("acaciachute_gateway_table_old_total", table_);
  log_->Write("table_old", {{"table", table_},
                            {"known_ms", (now - known_at_) / kMillisecond},
                            {"version", version_},
                            {"relay", peer_call_.peer}});
  SendToStore(now);
}

bool TableSource::MayAskStore(TimeUs now) const {
  return !store_failed_ || now >= store_next_at_;
}

bool TableSource::AsksStoreFirst() const {
  return peers_->relay_plan().others.empty() || peers_->relay_plan().is_relay;
}

// A relay asks the store, and another gateway too while the store fails. A
// follower asks a relay, and the store too while relays fail. A later page of a
// table is the store's: relays send theirs whole.
void TableSource::Begin(TimeUs now, TableQuery query) {
  question_ = {State::kOpen, std::move(query), now};
  peer_call_ = {};
  const bool later_page = !question_.query.from.empty();
  const bool store_helps = RelaysFail() && MayAskStore(now);
  if (later_page || AsksStoreFirst() || store_helps) {
    AskStore(now);
  } else {
    AskStoreWhenOld(now);
  }
  const bool peer_helps = !AsksStoreFirst() || store_failed_;
  if (!later_page && peer_helps) {
    AskPeer(now);
  }
  if (peer_call_.peer.empty()) {
    AskStore(now);
  }
}

void TableSource::AskStore(TimeUs now) {
  if (store_requests_.Awaited() == nullptr) {
    SendToStore(now);
  }
}

void TableSource::SendToStore(TimeUs now) {
  // Half of it at random, so that many gateways do not ask it together.
  const DurationUs half = plan_->store_again / 2;
  store_next_at_ =
      now + half +
      static_cast<DurationUs>(random_->Below(static_cast<std::uint64_t>(half)));
  TableQuery query = question_.query;
  if (IsOld(now)) {
    query.wait = 0;
  }
  metrics_->Count("acaciachute_gateway_table_questions_total", kStore);
  if (peer_call_.peer.empty()) {
    TellSource(now, std::string(kStore), why_);
  }
  store_requests_.Ask(now, std::move(query));
}

// The store may serve just those that are no relays: relays that find no other
// ask any gateway, each second time.
NodeId TableSource::Choose(TimeUs now) {
  if (RelaysFail() && AsksStoreFirst() && random_->Below(2) == 0) {
    return peers_->AnyLive(random_);
  }
  const NodeId* best = nullptr;
  TimeUs best_until = 0;
  for (const NodeId& it : peers_->relay_plan().others) {
    const auto shunned = shunned_until_.find(it);
    const TimeUs until = shunned == shunned_until_.end() ? 0 : shunned->second;
    if (until <= now) {
      return it;
    }
    if (best == nullptr || until < best_until) {
      best = &it;
      best_until = until;
    }
  }
  return best == nullptr ? NodeId() : *best;
}

void TableSource::AskPeer(TimeUs now) {
  const NodeId peer = Choose(now);
  if (peer.empty()) {
    return;
  }
  peer_call_ = {peer, ++next_sequence_, now};
  metrics_->Count("acaciachute_gateway_table_questions_total", "relay");
  TellSource(now, peer, why_);
  TableRequest it;
  it.table = table_;
  it.sequence = peer_call_.sequence;
  it.whole = question_.query.whole;
  it.after = question_.query.whole ? version_ : question_.query.after;
  it.wait = question_.query.wait;
  it.age = known_at_ < 0 ? std::numeric_limits<DurationUs>::max() / 2
                         : now - known_at_;
  output_->SendToPeer(peer, it);
}

void TableSource::OnStoreAnswer(TimeUs now,
                                std::uint64_t id,
                                TableAnswer answer) {
  const auto sent = store_requests_.Take(id);
  if (!sent) {
    return;
  }
  if (answer.kind == TableAnswer::Kind::kFailed) {
    // One that is not awaited failed already, or a newer one is.
    if (sent->awaited) {
      OnStoreFailed(now, sent->asked_at, answer);
    }
    return;
  }
  TellLate(now, *sent);
  store_failed_ = false;
  if (answer.store_time && answer.known_after) {
    answer.known_after =
        store_clock_.LocalTimeOf(*answer.store_time, sent->asked_at, now) -
        sent->asked_at;
  }
  if (answer.kind == TableAnswer::Kind::kHistoryGone) {
    answer.known_after.reset();
    answer.version = sent->query.after;
  }
  if (Fits(*sent, answer)) {
    Finish(now, sent->asked_at, std::move(answer));
  } else if (IsOpen() && peer_call_.peer.empty()) {
    AskStore(now);
  }
}

// Of a reading that failed, the first page is: a new one begins with it.
bool TableSource::IsWanted() const {
  return IsOpen() ||
         (question_.state == State::kFailed && question_.query.from.empty());
}

// A relay may have answered the request that this one was; what changed since
// then is in the answer too.
bool TableSource::Fits(const StoreRequests::Sent& sent,
                       const TableAnswer& answer) const {
  const TableQuery& query = question_.query;
  return IsWanted() && sent.query.whole == query.whole &&
         sent.query.from == query.from &&
         (query.whole || answer.version >= query.after);
}

void TableSource::TellLate(TimeUs now, const StoreRequests::Sent& sent) {
  const DurationUs took = now - sent.asked_at;
  if (sent.awaited || took < sent.query.wait + StoreInTime()) {
    return;
  }
  metrics_->Count("acaciachute_gateway_table_late_total", table_);
  log_->Write("table_late", {{"table", table_},
                             {"took_ms", took / kMillisecond},
                             {"wait_ms", sent.query.wait / kMillisecond}});
}

void TableSource::OnStoreFailed(TimeUs now,
                                TimeUs asked_at,
                                const TableAnswer& answer) {
  // One refusal, as of a call beyond the store's rate, is no outage yet.
  if (!std::exchange(store_failed_, true) && !relay_lost_store_) {
    store_next_at_ = std::min(store_next_at_, now + kStoreSoon);
  }
  store_failed_at_ = asked_at;
  why_ = answer.why;
  if (IsOpen() && peer_call_.peer.empty()) {
    Fail(now, answer);
  }
}

void TableSource::OnReply(TimeUs now,
                          const NodeId& from,
                          const TableReply& reply) {
  if (!IsOpen() || from != peer_call_.peer ||
      reply.sequence != peer_call_.sequence) {
    return;  // Late: another one was asked meanwhile.
  }
  switch (reply.answer.kind) {
    case TableAnswer::Kind::kFailed:
      OnPeerFailed(now, reply.answer.why);
      return;
    case TableAnswer::Kind::kStoreLost:
      OnStoreLostAtPeer(now, reply.answer);
      return;
    case TableAnswer::Kind::kHistoryGone:
      OnHistoryGoneAtPeer(now, reply.answer);
      return;
    case TableAnswer::Kind::kRows:
      OnPeerAnswer(now, reply.answer);
      return;
  }
  OnPeerFailed(now, "an answer of an unknown kind");
}

void TableSource::OnStoreLostAtPeer(TimeUs now, const TableAnswer& answer) {
  relay_lost_store_ = true;
  shunned_until_[peer_call_.peer] = now + kShunWithoutStore;
  why_ = answer.why;
  ++peer_failures_;
  peer_call_ = {};
  if (RelaysFail() && MayAskStore(now)) {
    AskStore(now);
  }
  const bool store_is_lost =
      store_failed_ && store_requests_.Awaited() == nullptr;
  if (store_is_lost && !MayAskStore(now)) {
    Fail(now, answer);
    return;
  }
  AskPeer(now);  // Which may hold the request until the store is back.
  if (peer_call_.peer.empty()) {
    AskStore(now);
  }
}

// A gateway that started later knows no changes from before its start. The
// store keeps them: a few rows in place of the whole table.
void TableSource::OnHistoryGoneAtPeer(TimeUs now, const TableAnswer& answer) {
  if (store_failed_ || question_.query.whole) {
    OnPeerAnswer(now, answer);
    return;
  }
  why_ = "no changes from so long ago";
  peer_call_ = {};
  question_.query.wait = 0;
  AskStore(now);
}

void TableSource::OnPeerAnswer(TimeUs now, TableAnswer answer) {
  const bool rows = answer.kind == TableAnswer::Kind::kRows;
  if (!rows) {
    answer.known_after.reset();
  }
  if (rows && question_.query.whole && !answer.known_after) {
    OnPeerFailed(now, "no whole table");
    return;
  }
  const TimeUs asked_at = peer_call_.asked_at;
  const TimeUs known_at =
      answer.known_after ? asked_at + *answer.known_after : known_at_;
  if (known_at_ >= 0 &&
      now - std::max(known_at, known_at_) >= plan_->ask_store) {
    OnPeerFailed(now, "what it knows is old");
    return;
  }
  const TableQuery& query = question_.query;
  if (answer.version < query.after) {
    answer.rows.clear();  // The asker knows more.
    answer.version = query.after;
    answer.known_after.reset();
  }
  std::erase_if(answer.rows, [&](const TableRow& it) {
    return !query.whole && it.version <= query.after;
  });
  peer_failures_ = 0;
  shunned_until_.erase(peer_call_.peer);
  Finish(now, asked_at, std::move(answer));
}

void TableSource::OnPeerFailed(TimeUs now, std::string_view why) {
  shunned_until_[peer_call_.peer] = now + kShun;
  why_ = why;
  peer_call_ = {};
  ++peer_failures_;
  if ((RelaysFail() || IsOld(now)) && MayAskStore(now)) {
    AskStore(now);
  }
  if (!RelaysFail()) {
    AskPeer(now);
  }
  if (peer_call_.peer.empty() && MayAskStore(now)) {
    AskStore(now);
  }
  if (!peer_call_.peer.empty() || store_requests_.Awaited() != nullptr) {
    return;
  }
  TableAnswer failed;
  failed.why = why_;
  Fail(now, failed);
}

void TableSource::OnPeerLost(TimeUs now, const NodeId& peer) {
  if (IsOpen() && peer == peer_call_.peer) {
    OnPeerFailed(now, "no connection");
  }
}

void TableSource::OnTick(TimeUs now) {
  GiveUpStore(now);
  if (IsOpen() && !peer_call_.peer.empty() &&
      now - peer_call_.asked_at > TableRelay::kMostHeld + kReplyTime) {
    OnPeerFailed(now, "no answer in time");
  }
  AskStoreWhenOld(now);
}

DurationUs TableSource::StoreInTime() const {
  return store_failed_ ? std::min(kStoreProbe, plan_->store_in_time)
                       : plan_->store_in_time;
}

void TableSource::GiveUpStore(TimeUs now) {
  const auto sent = store_requests_.GiveUp(now, StoreInTime());
  if (!sent) {
    return;
  }
  TableAnswer failed;
  failed.why = "no answer in time";
  OnStoreFailed(now, sent->asked_at, failed);
}

void TableSource::Finish(TimeUs now, TimeUs asked_at, TableAnswer answer) {
  if (answer.known_after) {
    const TimeUs known_at = asked_at + *answer.known_after;
    known_at_ = std::max(known_at_, known_at);
    answer.known_after = known_at - question_.asked_at;
    version_ = std::max(version_, answer.version);
  }
  question_.state = State::kAnswered;
  peer_call_ = {};
  relay_lost_store_ = false;
  on_answer_(now, answer);
}

void TableSource::Fail(TimeUs now, const TableAnswer& answer) {
  question_.state = State::kFailed;
  peer_call_ = {};
  on_answer_(now, answer);
}

void TableSource::TellSource(TimeUs now,
                             const std::string& source,
                             std::string_view why) {
  if (source == told_source_) {
    return;
  }
  log_->Write(
      "table_source",
      {{"table", table_},
       {"source", source},
       {"before", told_source_},
       {"why", why},
       {"age_ms", known_at_ < 0 ? -1 : (now - known_at_) / kMillisecond}});
  told_source_ = source;
  why_.clear();
}

}  // namespace acaciachute
