#include "tests/soak/version_replica.h"

#include <utility>

#include "address_text.h"
#include "tests/soak/loopback.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kWrongReplica = 421;
// Share of the answers that are broken off.
constexpr std::uint64_t kBreakPercent = 75;
constexpr int kSlots = 32;
constexpr DurationUs kFirstEventDelay = 30 * kMillisecond;
constexpr DurationUs kMinEventInterval = 85 * kMillisecond;
constexpr DurationUs kMaxEventInterval = 115 * kMillisecond;

std::string ValueOf(const HttpFields& fields, std::string_view name) {
  const std::string* value = FindField(fields, name);
  return value == nullptr ? std::string() : *value;
}

// The number of events that the request asks for: its tokens out.
int SizeOf(const HttpRequestHead& head) {
  const std::string usage = ValueOf(head.fields, "Token-Usage");
  return ParseNumber<int>(std::string_view(usage).substr(usage.find(',') + 1))
      .value_or(0);
}

}  // namespace

VersionReplica::VersionReplica(Loop* loop,
                               std::string id,
                               std::string service,
                               const std::string& version,
                               std::uint64_t seed)
    : loop_(loop),
      id_(std::move(id)),
      service_(std::move(service)),
      address_(FreeAddress()),
      listener_(this, loop, address_),
      random_(seed) {
  Start(version);
}

void VersionReplica::Start(const std::string& version) {
  version_ = version;
  started_at_ = Loop::Now();
  born_ms_ = Loop::WallClock() / kMillisecond;
  alive_ = std::make_shared<int>();
}

void VersionReplica::GoDown() {
  alive_.reset();
  streams_.clear();
  listener_.Stop();
}

void VersionReplica::ComeBack(const std::string& version) {
  Start(version);
  listener_.Listen();
}

Json VersionReplica::Row(const std::string& state) const {
  return {{"service", service_}, {"address", AddressText(address_)},
          {"zone", "a"},         {"version", version_},
          {"slots", kSlots},     {"cold_left_ms", 0},
          {"call_seq", 0},       {"state", state},
          {"born", born_ms_}};
}

void VersionReplica::Answer(ExchangeId id,
                            int status,
                            HttpFields fields,
                            const std::string& body) {
  fields.push_back({"Content-Length", StrCat(body.size())});
  listener_.Write(id, WriteAnswerHead(status, ReasonOf(status), fields) + body);
  listener_.Keep(id);
}

void VersionReplica::OnRequest(ExchangeId id,
                               HttpRequestHead head,
                               std::string) {
  const std::string expected = ValueOf(head.fields, "Expect-Replica");
  const std::string attempt = ValueOf(head.fields, "Attempt-Id");
  if (!expected.empty() && expected != id_) {
    Answer(id, kWrongReplica, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}},
           "");
  } else if (head.method != "POST" && attempt.empty()) {
    const Json report = {{"born", born_ms_},
                         {"stage", "unified"},
                         {"models", Json::array()},
                         {"busy", false},
                         {"call_seq", 0},
                         {"queued", 0},
                         {"running", streams_.size()},
                         {"state", leaving_ ? "draining" : "ready"}};
    Answer(id, kOk, {{"Content-Type", "application/json"}, {"Replica-Id", id_}},
           report.dump());
  } else if (attempt.empty() || SizeOf(head) <= 0) {
    Answer(id, kBadRequest, {{"Not-Executed", "1"}}, "");
  } else {
    BeginStream(id, head);
  }
}

void VersionReplica::BeginStream(ExchangeId id, const HttpRequestHead& head) {
  Stream stream;
  stream.attempt = ValueOf(head.fields, "Attempt-Id");
  const auto last = ParseNumber<int>(ValueOf(head.fields, "Last-Event-Id"));
  stream.next = last.value_or(-1) + 1;
  stream.size = SizeOf(head);
  stream.break_off = stream.size;
  if (random_.Below(100) < kBreakPercent && stream.next + 1 < stream.size) {
    const auto left = static_cast<std::uint64_t>(stream.size - stream.next - 1);
    stream.break_off = stream.next + 1 + static_cast<int>(random_.Below(left));
  }
  HttpFields fields = {{"Attempt-Id", stream.attempt},
                       {"Replica-Seal", id_},
                       {"Content-Type", "text/event-stream"},
                       {"Transfer-Encoding", "chunked"}};
  if (leaving_) {
    fields.push_back({"Server-Leaving", "1"});
  }
  listener_.Write(id, WriteAnswerHead(kOk, ReasonOf(kOk), fields));
  streams_[id] = std::move(stream);
  RunAfter(loop_, kFirstEventDelay, alive_, [this, id] { SendEvent(id); });
}

void VersionReplica::SendEvent(ExchangeId id) {
  const auto it = streams_.find(id);
  if (it == streams_.end()) {
    return;  // Its client has left.
  }
  Stream& stream = it->second;
  if (stream.next >= stream.size) {
    listener_.Write(id, kLastChunk);
    streams_.erase(it);
    listener_.Keep(id);
    return;
  }
  const std::string event = StrCat("id: ", stream.next, "\ndata: ", version_,
                                   " ", stream.attempt, "\n\n");
  if (stream.next >= stream.break_off) {
    BreakOff(id, event);
    return;
  }
  listener_.Write(id, WriteChunk(event));
  ++stream.next;
  const auto spread =
      static_cast<std::uint64_t>(kMaxEventInterval - kMinEventInterval);
  const DurationUs interval =
      kMinEventInterval + static_cast<DurationUs>(random_.Below(spread));
  RunAfter(loop_, interval, alive_, [this, id] { SendEvent(id); });
}

// In order or by a reset, at times in the middle of the event.
void VersionReplica::BreakOff(ExchangeId id, const std::string& event) {
  constexpr std::uint64_t kInsideEventPeriod = 4;
  if (random_.Below(kInsideEventPeriod) == 0) {
    listener_.Write(id, WriteChunk(event.substr(0, event.size() / 2)));
  }
  streams_.erase(id);
  if (random_.Below(2) == 0) {
    listener_.Close(id);
  } else {
    listener_.Reset(id);
  }
}

}  // namespace acaciachute
