#include "coordination/tables/table_source.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

constexpr std::string_view kStoreSource = "store";

}  // namespace

TableSource::TableSource(std::string table,
                         const FreshnessPlan* plan,
                         const GatewayPeers* peers,
                         StoreReader* store,
                         TableRelayOutput* output,
                         SplitRow* split_row,
                         Random* random,
                         Metrics* metrics,
                         EventLog* log,
                         AnswerFn on_answer)
    : table_(std::move(table)),
      plan_(plan),
      peers_(peers),
      output_(output),
      split_row_(split_row),
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

bool TableSource::RelaysFailed() const {
  return relay_failures_ >= kRelayFailuresBeforeStore;
}

bool TableSource::IsStoreRequestDue(TimeUs now) const {
  return now - known_at_ >= plan_->store_request_age;
}

void TableSource::RequestFromStoreIfOld(TimeUs now) {
  const StoreRequests::Sent* const awaited = store_requests_.AwaitedRequest();
  const bool held_by_store = awaited != nullptr && awaited->query.wait > 0 &&
                             !store_requests_.IsReceiving();
  if (!NeedsAnswer() || known_at_ < 0 || !IsStoreRequestDue(now) ||
      !MayRequestFromStore(now) || ReceivesPages() ||
      (awaited != nullptr && !held_by_store)) {
    return;
  }
  metrics_->Count("acaciachute_gateway_table_old_total", table_);
  log_->Write("table_old", {{"table", table_},
                            {"known_ms", (now - known_at_) / kMillisecond},
                            {"version", version_},
                            {"relay", relay_request_.peer}});
  SendStoreRequest(now);
}

bool TableSource::ReceivesPages() const {
  return split_row_ != nullptr && !relay_request_.peer.empty() &&
         split_row_->position().page_version != 0;
}

bool TableSource::ReceivesChanges() const {
  const StoreRequests::Sent* const awaited = store_requests_.AwaitedRequest();
  const bool from_store = !store_malformed_ && store_requests_.IsReceiving() &&
                          !awaited->query.complete_table;
  return from_store || ReceivesPages();
}

bool TableSource::MayRequestFromStore(TimeUs now) const {
  return !store_failed_ || now >= next_store_request_at_;
}

bool TableSource::PrefersStore() const {
  return peers_->relay_plan().relays.empty() || peers_->relay_plan().is_relay;
}

// A relay asks the store and, while the store fails, also another gateway. A
// follower asks a relay and, while relays fail, also the store. Later pages of
// a table are always read from the store: relays send their tables in one
// message.
void TableSource::Begin(TimeUs now, TableQuery query) {
  read_ = {State::kOpen, std::move(query), now};
  relay_request_ = {};
  const bool later_page = !read_.query.from.empty();
  const bool ask_store_too = RelaysFailed() && MayRequestFromStore(now);
  if (later_page || PrefersStore() || ask_store_too) {
    RequestFromStore(now);
  } else {
    RequestFromStoreIfOld(now);
  }
  const bool ask_relay = !PrefersStore() || store_failed_;
  if (!later_page && ask_relay) {
    RequestFromRelay(now);
  }
  if (relay_request_.peer.empty()) {
    RequestFromStore(now);
  }
}

void TableSource::RequestFromStore(TimeUs now) {
  if (store_requests_.AwaitedRequest() == nullptr) {
    SendStoreRequest(now);
  }
}

void TableSource::SendStoreRequest(TimeUs now) {
  // Half of the period is random, so that gateways do not ask the store at the
  // same time.
  const DurationUs half = plan_->store_retry_period / 2;
  next_store_request_at_ =
      now + half +
      static_cast<DurationUs>(random_->Below(static_cast<std::uint64_t>(half)));
  TableQuery query = read_.query;
  if (IsStoreRequestDue(now)) {
    query.wait = 0;
  }
  metrics_->Count("acaciachute_gateway_table_questions_total", kStoreSource);
  if (relay_request_.peer.empty()) {
    LogSource(now, std::string(kStoreSource), last_failure_);
  }
  store_requests_.SendRequest(now, std::move(query));
}

// The store may be reachable only for gateways that are not relays. So a relay
// that finds no other relay asks any live gateway half of the time.
NodeId TableSource::ChooseRelay(TimeUs now) {
  if (RelaysFailed() && PrefersStore() && random_->Below(2) == 0) {
    return peers_->AnyLive(random_);
  }
  const NodeId* best = nullptr;
  TimeUs best_until = 0;
  for (const NodeId& it : peers_->relay_plan().relays) {
    const auto backoff = backoff_until_.find(it);
    const TimeUs until = backoff == backoff_until_.end() ? 0 : backoff->second;
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

void TableSource::RequestFromRelay(TimeUs now) {
  const NodeId peer = ChooseRelay(now);
  if (peer.empty()) {
    return;
  }
  LogSource(now, peer, last_failure_);
  SendRelayRequest(now, peer, read_.query.wait);
}

void TableSource::SendRelayRequest(TimeUs now,
                                   const NodeId& peer,
                                   DurationUs wait) {
  relay_request_ = {peer, ++next_sequence_, now};
  metrics_->Count("acaciachute_gateway_table_questions_total", "relay");
  TableRequest it;
  it.table = table_;
  it.sequence = relay_request_.sequence;
  it.complete_table = read_.query.complete_table;
  it.after = read_.query.complete_table ? version_ : read_.query.after;
  it.wait = wait;
  if (split_row_ != nullptr) {
    it.split_row = split_row_->position();
  }
  it.age = known_at_ < 0 ? std::numeric_limits<DurationUs>::max() / 2
                         : now - known_at_;
  output_->SendToPeer(peer, it);
}

void TableSource::OnStoreAnswer(TimeUs now,
                                std::uint64_t id,
                                TableAnswer answer) {
  const auto sent = store_requests_.RemoveRequest(id);
  if (!sent) {
    return;
  }
  if (answer.kind == TableAnswer::Kind::kFailed) {
    // A request that is no longer awaited has failed already or was replaced by
    // a newer one.
    if (sent->awaited) {
      OnStoreFailed(now, sent->sent_at, answer);
    }
    return;
  }
  LogLateAnswer(now, *sent);
  store_failed_ = false;
  store_malformed_ = false;
  if (answer.store_time && answer.known_after) {
    answer.known_after =
        store_clock_.LocalTimeOf(*answer.store_time, sent->sent_at, now) -
        sent->sent_at;
  }
  if (answer.kind == TableAnswer::Kind::kHistoryTruncated) {
    answer.known_after.reset();
    answer.version = sent->query.after;
  }
  if (AnswersRead(*sent, answer)) {
    Finish(now, sent->sent_at, std::move(answer));
  } else if (IsOpen() && relay_request_.peer.empty()) {
    RequestFromStore(now);
  }
}

// After a failed read, only an answer to the request for the first page is
// needed, as the next read starts with it.
bool TableSource::NeedsAnswer() const {
  return IsOpen() ||
         (read_.state == State::kFailed && read_.query.from.empty());
}

// The read that the store request was sent for may have been answered by a
// relay meanwhile. The store's answer then contains the later changes too.
bool TableSource::AnswersRead(const StoreRequests::Sent& sent,
                              const TableAnswer& answer) const {
  const TableQuery& query = read_.query;
  return NeedsAnswer() && sent.query.complete_table == query.complete_table &&
         sent.query.from == query.from &&
         (query.complete_table || answer.version >= query.after);
}

void TableSource::LogLateAnswer(TimeUs now, const StoreRequests::Sent& sent) {
  const DurationUs took = now - sent.sent_at;
  if (sent.awaited || took < sent.query.wait + StoreTimeout()) {
    return;
  }
  metrics_->Count("acaciachute_gateway_table_late_total", table_);
  log_->Write("table_late", {{"table", table_},
                             {"took_ms", took / kMillisecond},
                             {"wait_ms", sent.query.wait / kMillisecond}});
}

void TableSource::OnStoreFailed(TimeUs now,
                                TimeUs sent_at,
                                const TableAnswer& answer) {
  store_malformed_ = store_malformed_ || answer.malformed;
  // A single refusal, for example because of the store's rate limit, is not yet
  // an outage.
  if (!std::exchange(store_failed_, true) && !relay_lost_store_) {
    next_store_request_at_ =
        std::min(next_store_request_at_, now + kStoreFirstRetryDelay);
  }
  store_failed_at_ = sent_at;
  last_failure_ = answer.why;
  if (IsOpen() && relay_request_.peer.empty()) {
    Fail(now, answer);
  }
}

void TableSource::OnReply(TimeUs now,
                          const NodeId& from,
                          const TableReply& reply) {
  if (!IsOpen() || from != relay_request_.peer ||
      reply.sequence != relay_request_.sequence) {
    return;  // A late answer: another relay was asked meanwhile.
  }
  if (reply.answer.split_row && !OnPage(now, *reply.answer.split_row)) {
    return;
  }
  switch (reply.answer.kind) {
    case TableAnswer::Kind::kFailed:
      OnPeerFailed(now, reply.answer.why);
      return;
    case TableAnswer::Kind::kStoreLost:
      OnStoreLostAtPeer(now, reply.answer);
      return;
    case TableAnswer::Kind::kHistoryTruncated:
      OnHistoryTruncatedAtPeer(now, reply.answer);
      return;
    case TableAnswer::Kind::kRows:
      OnPeerAnswer(now, reply.answer);
      return;
  }
  OnPeerFailed(now, "the relay sent an answer of an unknown kind");
}

// Each page is a sign of life of the relay: its time limit starts anew.
bool TableSource::OnPage(TimeUs now, const SplitRowPage& page) {
  const auto result = split_row_ == nullptr ? SplitRow::PageResult::kMismatch
                                            : split_row_->ApplyPage(page);
  switch (result) {
    case SplitRow::PageResult::kComplete:
      return true;
    case SplitRow::PageResult::kIncomplete:
      SendRelayRequest(now, NodeId(relay_request_.peer), 0);
      return false;
    case SplitRow::PageResult::kMismatch:
      break;
  }
  OnPeerFailed(now, "the relay's changes do not fit the version held here");
  return false;
}

void TableSource::OnStoreLostAtPeer(TimeUs now, const TableAnswer& answer) {
  relay_lost_store_ = true;
  backoff_until_[relay_request_.peer] = now + kStorelessRelayBackoff;
  last_failure_ = answer.why;
  ++relay_failures_;
  relay_request_ = {};
  if (RelaysFailed() && MayRequestFromStore(now)) {
    RequestFromStore(now);
  }
  const bool store_is_lost =
      store_failed_ && store_requests_.AwaitedRequest() == nullptr;
  if (store_is_lost && !MayRequestFromStore(now)) {
    Fail(now, answer);
    return;
  }
  // The relay may hold the request until the store is back.
  RequestFromRelay(now);
  if (relay_request_.peer.empty()) {
    RequestFromStore(now);
  }
}

// A relay that started later than this gateway does not have the changes from
// before its start. The store keeps them, so this gateway reads a few rows from
// it instead of the complete table.
void TableSource::OnHistoryTruncatedAtPeer(TimeUs now,
                                           const TableAnswer& answer) {
  if (store_failed_ || read_.query.complete_table) {
    OnPeerAnswer(now, answer);
    return;
  }
  last_failure_ =
      "the relay no longer has the changes since this gateway's version";
  relay_request_ = {};
  read_.query.wait = 0;
  RequestFromStore(now);
}

void TableSource::OnPeerAnswer(TimeUs now, TableAnswer answer) {
  const bool rows = answer.kind == TableAnswer::Kind::kRows;
  if (!rows) {
    answer.known_after.reset();
  }
  if (rows && read_.query.complete_table && !answer.known_after) {
    OnPeerFailed(now, "the relay did not send the complete table");
    return;
  }
  const TimeUs sent_at = relay_request_.sent_at;
  const TimeUs known_at =
      answer.known_after ? sent_at + *answer.known_after : known_at_;
  if (known_at_ >= 0 &&
      now - std::max(known_at, known_at_) >= plan_->store_request_age) {
    OnPeerFailed(now, "the data of the relay are too old");
    return;
  }
  const TableQuery& query = read_.query;
  if (answer.version < query.after) {
    answer.rows.clear();  // This gateway has a newer version.
    answer.version = query.after;
    answer.known_after.reset();
  }
  std::erase_if(answer.rows, [&](const TableRow& it) {
    return !query.complete_table && it.version <= query.after;
  });
  relay_failures_ = 0;
  backoff_until_.erase(relay_request_.peer);
  Finish(now, sent_at, std::move(answer));
}

void TableSource::OnPeerFailed(TimeUs now, std::string_view reason) {
  backoff_until_[relay_request_.peer] = now + kRelayBackoff;
  last_failure_ = reason;
  relay_request_ = {};
  ++relay_failures_;
  if ((RelaysFailed() || IsStoreRequestDue(now)) && MayRequestFromStore(now)) {
    RequestFromStore(now);
  }
  if (!RelaysFailed()) {
    RequestFromRelay(now);
  }
  if (relay_request_.peer.empty() && MayRequestFromStore(now)) {
    RequestFromStore(now);
  }
  if (!relay_request_.peer.empty() ||
      store_requests_.AwaitedRequest() != nullptr) {
    return;
  }
  TableAnswer failed;
  failed.why = last_failure_;
  Fail(now, failed);
}

void TableSource::OnPeerLost(TimeUs now, const NodeId& peer) {
  if (IsOpen() && peer == relay_request_.peer) {
    OnPeerFailed(now, "the connection to the relay broke or could not be made");
  }
}

void TableSource::OnTick(TimeUs now) {
  CheckStoreTimeout(now);
  if (IsOpen() && !relay_request_.peer.empty() &&
      now - relay_request_.sent_at >
          TableRelay::kMaxHoldTime + kRelayReplyMargin) {
    OnPeerFailed(now, "the relay did not answer within its time limit");
  }
  RequestFromStoreIfOld(now);
}

DurationUs TableSource::StoreTimeout() const {
  return store_failed_ ? std::min(kStoreProbeTimeout, plan_->store_timeout)
                       : plan_->store_timeout;
}

void TableSource::CheckStoreTimeout(TimeUs now) {
  const auto sent = store_requests_.TimeOutAwaited(now, StoreTimeout());
  if (!sent) {
    return;
  }
  metrics_->Count("acaciachute_gateway_table_abandoned_bytes_total", table_,
                  sent->received_bytes);
  log_->Write("table_timeout",
              {{"table", table_},
               {"after", sent->query.after},
               {"waited_ms", (now - sent->sent_at) / kMillisecond},
               {"received_bytes", sent->received_bytes}});
  TableAnswer failed;
  failed.why = "the store did not answer within its time limit";
  OnStoreFailed(now, sent->sent_at, failed);
}

void TableSource::Finish(TimeUs now, TimeUs sent_at, TableAnswer answer) {
  if (answer.known_after) {
    const TimeUs known_at = sent_at + *answer.known_after;
    known_at_ = std::max(known_at_, known_at);
    answer.known_after = known_at - read_.sent_at;
    version_ = std::max(version_, answer.version);
  }
  read_.state = State::kAnswered;
  relay_request_ = {};
  relay_lost_store_ = false;
  on_answer_(now, answer);
}

void TableSource::Fail(TimeUs now, const TableAnswer& answer) {
  read_.state = State::kFailed;
  relay_request_ = {};
  on_answer_(now, answer);
}

void TableSource::LogSource(TimeUs now,
                            const std::string& source,
                            std::string_view reason) {
  if (source == logged_source_) {
    return;
  }
  log_->Write(
      "table_source",
      {{"table", table_},
       {"source", source},
       {"before", logged_source_},
       {"why", reason},
       {"age_ms", known_at_ < 0 ? -1 : (now - known_at_) / kMillisecond}});
  logged_source_ = source;
  last_failure_.clear();
}

}  // namespace acaciachute
