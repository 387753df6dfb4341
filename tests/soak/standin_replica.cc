#include "tests/soak/standin_replica.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "address_text.h"
#include "tests/soak/answer_bytes.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kWrongReplica = 421;
constexpr int kLateStatus = 408;
constexpr int kConflict = 409;
constexpr int kTooManyStatus = 429;
constexpr int kFailed = 500;
constexpr int kFull = 503;
constexpr std::size_t kMaxQueuedCalls = 2;

std::string ValueOf(const HttpFields& fields, std::string_view name) {
  const std::string* value = FindField(fields, name);
  return value == nullptr ? std::string() : *value;
}

// The id of what is answered, if it has one.
HttpFields Named(const std::string& attempt) {
  return attempt.empty() ? HttpFields() : HttpFields{{"Attempt-Id", attempt}};
}

HttpFields NotRun(const std::string& attempt) {
  HttpFields fields = Named(attempt);
  fields.push_back({"Not-Executed", "1"});
  return fields;
}

}  // namespace

StandinReplica::StandinReplica(Loop* loop,
                               std::string id,
                               std::string service,
                               const ReplicaWork& work,
                               Ledger* ledger,
                               const Address& address)
    : loop_(loop),
      id_(std::move(id)),
      service_(std::move(service)),
      work_(work),
      ledger_(ledger),
      address_(address),
      listener_(this, loop, address_) {}

void StandinReplica::After(DurationUs delay, std::function<void()> task) {
  RunAfter(loop_, slowdown_factor_ * delay, alive_, std::move(task));
}

void StandinReplica::Crash(std::string id) {
  id_ = std::move(id);
  alive_ = std::make_shared<int>();
  calls_.clear();
  waiting_.clear();
  running_.clear();
  busy_ = false;
  for (const ExchangeId it : std::exchange(open_, {})) {
    const bool resets = !random_ || random_->Below(2) == 0;
    if (const auto stream = streams_.find(it); stream != streams_.end()) {
      stream->second.answer.BreakOff(resets);
      ReportEnd(stream->second.attempt, stream->second.answer, true);
    } else if (resets) {
      listener_.Reset(it);
    } else {
      listener_.Close(it);
    }
  }
  streams_.clear();
  listener_.CloseIdle();
}

void StandinReplica::FallSilent() {
  silent_ = true;
  alive_ = std::make_shared<int>();
}

void StandinReplica::GoDown(bool resets) {
  alive_ = std::make_shared<int>();
  calls_.clear();
  waiting_.clear();
  running_.clear();
  busy_ = false;
  for (const ExchangeId it : std::exchange(open_, {})) {
    if (const auto stream = streams_.find(it); stream != streams_.end()) {
      stream->second.answer.BreakOff(resets);
      ReportEnd(stream->second.attempt, stream->second.answer, true);
    } else if (resets) {
      listener_.Reset(it);
    }
  }
  streams_.clear();
  listener_.Stop();
}

void StandinReplica::ComeBack(std::string id) {
  id_ = std::move(id);
  silent_ = false;
  listener_.Listen();
}

void StandinReplica::CrashSoon(const std::string& body) {
  // Before any answer of a stand-in is due.
  constexpr DurationUs kCrashDelay = 10 * kMillisecond;
  if (!on_crash_ || !body.starts_with(kCrashingBody)) {
    return;
  }
  const bool in_stream = body.starts_with(StrCat(kCrashingBody, kInStream));
  After(in_stream ? work_.service_time + work_.event_interval / 2 : kCrashDelay,
        [this, body] { on_crash_(body, false); });
}

AnswerPlan StandinReplica::DrawPlan(AnswerEnd usual,
                                    int status,
                                    const HttpFields& fields,
                                    const std::vector<std::string>& parts) {
  AnswerPlan plan;
  plan.framing = usual;
  if (!random_) {
    return plan;
  }
  constexpr std::array<AnswerEnd, 3> kFramings = {
      AnswerEnd::kLength, AnswerEnd::kLastChunk, AnswerEnd::kClosed};
  plan.framing = framing_.value_or(kFramings[random_->Below(kFramings.size())]);
  plan.resets = random_->Below(2) == 0;
  if (random_->Below(100) < static_cast<std::uint64_t>(cut_percent_)) {
    plan.cut =
        random_->Below(AnswerBytes(plan.framing, status, fields, parts).size());
  }
  return plan;
}

void StandinReplica::Reply(ExchangeId id,
                           int status,
                           const HttpFields& fields,
                           const std::string& body) {
  AnswerWriter answer(&listener_, id,
                      DrawPlan(AnswerEnd::kLength, status, fields, {body}));
  answer.Begin(status, fields, body.size());
  answer.Body(body);
  answer.End();
  open_.erase(id);
  ReportEnd(ValueOf(fields, "Attempt-Id"), answer, false);
}

void StandinReplica::ReportEnd(const std::string& attempt,
                               const AnswerWriter& answer,
                               bool stream) {
  if (answer.LooksComplete(stream)) {
    ledger_->OnUnknownEnd(attempt);
  }
}

HttpFields StandinReplica::FieldsOf(HttpFields fields) {
  if (!rate_limit_.empty()) {
    fields.push_back({"Server-Limit", rate_limit_});
  }
  if (leaving_) {
    fields.push_back({"Server-Leaving", "1"});
    first_stated_leaving_at_ = first_stated_leaving_at_.value_or(Loop::Now());
  }
  return fields;
}

// A replica knows the calls of its own kind. Everything else is a request, and
// runs if it has an id.
bool StandinReplica::KnowsCall(const HttpRequestHead& head) const {
  switch (work_.kind) {
    case ReplicaWork::Kind::kPlain:
      return false;
    case ReplicaWork::Kind::kStage:
      return head.target == "/stage-run" || head.target == "/stage-free" ||
             head.target == "/report";
    case ReplicaWork::Kind::kEngine:
      return head.target == "/report";
  }
  return false;
}

void StandinReplica::JudgeOwnCall(const HttpRequestHead& head) {
  const std::string attempt = ValueOf(head.fields, "Attempt-Id");
  if (attempt.empty() && FindField(head.fields, "Expect-Replica") == nullptr) {
    ledger_->OnViolation(StrCat(head.target, " names no replica"), id_);
  }
  if (!attempt.empty() && !ledger_->Knows(attempt)) {
    ledger_->OnViolation(StrCat(head.target, " has an id that no client sent"),
                         attempt);
  }
}

void StandinReplica::OnRequest(ExchangeId id,
                               HttpRequestHead head,
                               std::string body) {
  open_.insert(id);
  JudgeOwnCall(head);
  if (silent_) {
    return;
  }
  const std::string expected = ValueOf(head.fields, "Expect-Replica");
  const std::string attempt = ValueOf(head.fields, "Attempt-Id");
  const bool known_call = KnowsCall(head);
  const bool makes_pieces = known_call && head.target == "/stage-run";
  if (makes_pieces || (!known_call && !attempt.empty())) {
    ReportArrival(head, body);
  }
  if (!expected.empty() && expected != id_) {
    Reply(id, kWrongReplica, NotRun(attempt));
  } else if (known_call && !makes_pieces) {
    AnswerOwnCall(id, head);
  } else if (!known_call && attempt.empty()) {
    Reply(id, kBadRequest, NotRun(attempt));
  } else if (ApplyFault(id, head, attempt)) {
    arrivals_.push_back(Loop::Now());
  } else if (!rest_.empty()) {
    arrivals_.push_back(Loop::Now());
    refusals_.push_back(Loop::Now());
    HttpFields fields = FieldsOf(NotRun(attempt));
    fields.push_back({"Retry-After", rest_});
    Reply(id, kFull, fields);
  } else if (makes_pieces && calls_.size() >= kMaxQueuedCalls) {
    arrivals_.push_back(Loop::Now());
    Reply(id, kFull, FieldsOf(NotRun(attempt)));
  } else if (makes_pieces) {
    arrivals_.push_back(Loop::Now());
    calls_.push_back({id, attempt, std::move(body)});
    BeginStageCall();
  } else {
    arrivals_.push_back(Loop::Now());
    CrashSoon(body);
    Serve(id, head);
  }
}

void StandinReplica::AnswerOwnCall(ExchangeId id, const HttpRequestHead& head) {
  const std::string attempt = ValueOf(head.fields, "Attempt-Id");
  if (head.target == "/stage-free") {
    Reply(id, kOk, FieldsOf(Named(attempt)));
    return;
  }
  HttpFields fields = Named(attempt);
  fields.push_back({"Content-Type", "application/json"});
  Reply(id, kOk, fields, "{}");
}

void StandinReplica::ReportArrival(const HttpRequestHead& head,
                                   const std::string& body) {
  const TimeUs now = Loop::Now();
  if (head.target != "/stage-run") {
    const auto deadline_ms =
        ParseNumber<int>(ValueOf(head.fields, "Deadline-Ms"));
    ledger_->OnRequestArrived(now, service_, ValueOf(head.fields, "Attempt-Id"),
                              deadline_ms.value_or(-1) * kMillisecond);
    const std::string attempt = ValueOf(head.fields, "Attempt-Id");
    if (body.starts_with(kCrashingBody)) {
      ledger_->OnCrashingArrived(now, attempt, body);
    }
    if (const std::string part = CrashingPart(head); !part.empty()) {
      ledger_->OnCrashingArrived(now, attempt, PartKey(part));
    }
    return;
  }
  const Json asked = Json::parse(body);
  for (const Json& it : asked.at("items")) {
    ledger_->OnPieceArrived(
        now, service_,
        StrCat(it.at("id").get<std::string>(), "/", it.at("stage").get<int>(),
               "/", it.at("piece").get<int>()));
  }
}

bool StandinReplica::ApplyFault(ExchangeId id,
                                const HttpRequestHead& head,
                                const std::string& attempt) {
  // Spreads the affected requests evenly, without a random sequence.
  constexpr int kStep = 37;
  fault_draw_ = (fault_draw_ + kStep) % 100;
  if (fault_ == ReplicaFault::kNone || fault_draw_ >= fault_percent_) {
    return false;
  }
  const bool call = head.target == "/stage-run";
  const auto refuse = [&](int status) {
    Reply(id, status, FieldsOf(NotRun(attempt)));
  };
  const auto run = [&] {
    if (!call) {
      ledger_->OnRun(attempt, ValueOf(head.fields, "Tenant"));
    }
  };
  switch (fault_) {
    case ReplicaFault::kNone:
      return false;
    case ReplicaFault::kRefuse:
      refuse(kFull);
      return true;
    case ReplicaFault::kTooMany:
      refuse(kTooManyStatus);
      return true;
    case ReplicaFault::kLate:
      refuse(kLateStatus);
      return true;
    case ReplicaFault::kInputsGone:
      if (work_.kind != ReplicaWork::Kind::kEngine) {
        return false;
      }
      refuse(kConflict);
      return true;
    case ReplicaFault::kReset:
      run();
      listener_.Reset(id);
      open_.erase(id);
      return true;
    case ReplicaFault::kSilent:
      run();
      return true;
    case ReplicaFault::kFail:
      run();
      Reply(id, kFailed,
            FieldsOf({{"Attempt-Id", attempt}, {"Replica-Seal", id_}}));
      return true;
  }
  return false;
}

void StandinReplica::Serve(ExchangeId id, const HttpRequestHead& head) {
  const std::string attempt = ValueOf(head.fields, "Attempt-Id");
  if (work_.kind == ReplicaWork::Kind::kEngine && work_.slots == 0 &&
      FindField(head.fields, "Inputs") == nullptr) {
    Reply(id, kBadRequest, FieldsOf(NotRun(attempt)));
    return;
  }
  if (FindField(head.fields, "Authorization") != nullptr) {
    ledger_->OnViolation("a client's Authorization field was forwarded",
                         attempt);
  }
  if (const std::string inputs = ValueOf(head.fields, "Inputs");
      !inputs.empty()) {
    for (const std::string& it : Split(inputs, ',')) {
      ledger_->OnInputUsed(attempt, it);
    }
  }
  const auto last = ParseNumber<int>(ValueOf(head.fields, "Last-Event-Id"));
  const int next = last ? *last + 1 : 0;  // Continues a resumed stream.
  if (work_.slots > 0) {
    waiting_.push_back({id, attempt, ValueOf(head.fields, "Tenant"), next,
                        !head.target.starts_with("/chat-resumed/"),
                        CrashingPart(head)});
    BeginRuns();
    return;
  }
  ledger_->OnRun(attempt, ValueOf(head.fields, "Tenant"));
  if (answers_to_lose_ > 0) {
    --answers_to_lose_;
    After(work_.service_time, [this, id] { listener_.Reset(id); });
    return;
  }
  if (work_.kind == ReplicaWork::Kind::kPlain) {
    After(work_.service_time, [this, id, attempt] {
      Reply(id, kOk, FieldsOf({{"Attempt-Id", attempt}, {"Replica-Seal", id_}}),
            StrCat("answer to ", attempt));
    });
    return;
  }
  After(work_.service_time, [this, id, attempt, next] {
    if (open_.contains(id)) {
      BeginStream(id, attempt, next);
    }
  });
}

std::string StandinReplica::CrashingPart(const HttpRequestHead& head) const {
  const auto parts = Split(ValueOf(head.fields, "Prompt-Prefix"), ',');
  for (std::size_t n = 0; n + 1 < parts.size(); ++n) {
    std::string id(Trim(parts[n].substr(0, parts[n].find(':'))));
    if (crashing_parts_.contains(id)) {
      return id;
    }
  }
  return "";
}

void StandinReplica::BeginRuns() {
  while (!waiting_.empty() && running_.size() < work_.slots) {
    const Run run = std::move(waiting_.front());
    waiting_.pop_front();
    if (!open_.contains(run.id)) {
      continue;  // Its client has left.
    }
    running_.insert(run.id);
    ledger_->OnRun(run.attempt, run.account);
    After(work_.service_time, [this, run] {
      if (open_.contains(run.id)) {
        BeginAnswer(run);
      }
    });
  }
}

void StandinReplica::BeginAnswer(const Run& run) {
  if (!run.crashing_part.empty() && on_crash_) {
    CrashOn(run);
  } else if (!run.plain) {
    BeginStream(run.id, run.attempt, run.next);
  } else {
    After(work_.events * work_.event_interval, [this, run] {
      if (!open_.contains(run.id)) {
        return;
      }
      Reply(run.id, kOk,
            FieldsOf({{"Attempt-Id", run.attempt}, {"Replica-Seal", id_}}),
            StrCat("answer to ", run.attempt));
      EndRun(run.id);
    });
  }
}

void StandinReplica::EndRun(ExchangeId id) {
  std::erase_if(waiting_, [id](const Run& it) { return it.id == id; });
  if (running_.erase(id) > 0) {
    BeginRuns();
  }
}

void StandinReplica::CrashOn(const Run& run) {
  constexpr DurationUs kCrashDelay = 5 * kMillisecond;
  const int way = crashes_++;
  const bool sends_head = way % 2 == 0;
  const bool resets = way / 2 % 2 == 0;
  if (sends_head) {
    const HttpFields fields =
        FieldsOf({{"Attempt-Id", run.attempt}, {"Replica-Seal", id_}});
    const AnswerEnd usual =
        run.plain ? AnswerEnd::kLength : AnswerEnd::kLastChunk;
    const std::string body = StrCat("answer to ", run.attempt);
    const AnswerPlan plan = DrawPlan(usual, kOk, fields, {body});
    const auto it =
        streams_
            .emplace(run.id, Stream{run.attempt, {&listener_, run.id, plan}})
            .first;
    it->second.answer.Begin(kOk, fields, body.size());
  }
  After(kCrashDelay, [this, resets, key = PartKey(run.crashing_part)] {
    on_crash_(key, resets);
  });
}

std::string StandinReplica::EventText(const std::string& attempt, int n) {
  return StrCat("id: ", n, "\ndata: ", attempt, " ", std::string(50, 't'),
                "\n\n");
}

void StandinReplica::BeginStream(ExchangeId id,
                                 const std::string& attempt,
                                 int next) {
  const HttpFields fields = FieldsOf({{"Attempt-Id", attempt},
                                      {"Replica-Seal", id_},
                                      {"Content-Type", "text/event-stream"}});
  std::vector<std::string> events;
  std::size_t size = 0;
  for (int n = next; n < work_.events; ++n) {
    events.push_back(EventText(attempt, n));
    size += events.back().size();
  }
  const AnswerPlan plan = DrawPlan(AnswerEnd::kLastChunk, kOk, fields, events);
  const auto it =
      streams_.emplace(id, Stream{attempt, {&listener_, id, plan}}).first;
  it->second.answer.Begin(kOk, fields, size);
  SendEvent(id, next);
}

void StandinReplica::SendEvent(ExchangeId id, int next) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) {
    return;
  }
  auto& [attempt, answer] = it->second;
  if (next < work_.events) {
    answer.Body(EventText(attempt, next));
  } else {
    answer.End();
  }
  if (!answer.over()) {
    After(work_.event_interval, [this, id, next] { SendEvent(id, next + 1); });
    return;
  }
  ReportEnd(attempt, answer, true);
  streams_.erase(it);
  open_.erase(id);
  EndRun(id);
}

void StandinReplica::BeginStageCall() {
  if (busy_ || calls_.empty()) {
    return;
  }
  busy_ = true;
  const StageCall call = std::move(calls_.front());
  calls_.pop_front();
  After(work_.service_time, [this, call] {
    busy_ = false;
    EndStageCall(call);
    BeginStageCall();
  });
}

void StandinReplica::EndStageCall(const StageCall& call) {
  Json items = Json::array();
  const Json asked = Json::parse(call.body);
  for (const Json& it : asked.at("items")) {
    if (!it.contains("key") && !it.contains("inputs")) {
      ledger_->OnViolation("a piece was sent without its inputs", it.at("id"));
    }
    const std::string handle =
        StrCat(AddressText(address_), "/", ++next_result_);
    ledger_->OnResultMade(handle, it.at("id"));
    for (const Json& input : it.value("inputs", Json::array())) {
      ledger_->OnInputUsed(it.at("id"), input);
    }
    items.push_back({{"handle", handle}});
  }
  HttpFields fields = Named(call.name);
  fields.push_back({"Content-Type", "application/json"});
  Reply(call.id, kOk, FieldsOf(fields), Json({{"items", items}}).dump());
}

}  // namespace acaciachute
