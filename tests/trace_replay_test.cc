// Replays recorded traces through `Entry` and `Sidecar`.
//
// A trace in tests/traces/ is a file of JSON lines. The first line names the
// core under test and the failure. Each "in" line is one input to the core;
// each "out" line states the next action that the core must take. Any other
// action is an error, too.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "coordination/interface/entry.h"
#include "coordination/sidecar/sidecar.h"
#include "tests/core_driver.h"
#include "tests/fake_table.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr TimeUs kStart = 1000 * kSecond;
constexpr Incarnation kSidecar = 77;
constexpr Incarnation kEntry = 5;
constexpr char kSidecarName[] = "orders-1";
constexpr char kEntryName[] = "entry-0";

StageKey KeyOf(const Json& in) {
  return {{kEntry, in.at("request")}, 0, in.value("attempt", 1U)};
}

std::string Text(const StageKey& key) {
  return StrCat(key.request.sequence, "/", key.stage, "/", key.attempt);
}

// Records the actions of a core, one text line each, in order.
class Replay {
 public:
  virtual ~Replay() = default;
  virtual void ApplyInput(const std::string& name, const Json& in) = 0;

  // Advances the time to `at` and runs the ticks that the core asks for until
  // then.
  template <typename Core>
  void PassTo(Core* core, TimeUs at) {
    while (core->NextWakeup() <= at) {
      now = std::max(now, core->NextWakeup());
      core->OnTick(now);
    }
    now = std::max(now, at);
  }
  virtual void PassTo(TimeUs at) = 0;

  TimeUs now = kStart;
  std::vector<std::string> actions;
};

class SidecarReplay : public Replay, SidecarOutput {
 public:
  SidecarReplay() : core_(Options(), this, &metrics_) {}

  void PassTo(TimeUs at) override { Replay::PassTo(&core_, at); }

  void ApplyInput(const std::string& name, const Json& in) override {
    if (name == "call") {
      StageCall call;
      call.key = KeyOf(in);
      call.sidecar = in.value("sidecar", kSidecar);
      call.idempotent = in.value("idempotent", true);
      call.time_left = in.value("time_left_ms", 1000) * kMillisecond;
      call.sent_at = now;
      call.body = "{}";
      core_.OnMessage(now, kEntryName, call);
    } else if (name == "cancel") {
      StageCancel cancel;
      cancel.key = KeyOf(in);
      cancel.sidecar = kSidecar;
      cancel.time_left = in.value("time_left_ms", 1000) * kMillisecond;
      core_.OnMessage(now, kEntryName, cancel);
    } else if (name == "answer") {
      core_.OnUpstreamChunk(now, in.at("call"), in.value("body", "{}"),
                            in.value("last", true));
    } else if (name == "report") {
      UpstreamReport report;
      report.reachable = true;
      report.leaving = in.value("leaving", false);
      core_.OnUpstreamReport(now, now, report);
    } else if (name == "entry_lost") {
      core_.OnPeerLost(now, kEntryName);
    } else {
      throw std::runtime_error("unknown input " + name);
    }
  }

 private:
  static SidecarOptions Options() {
    SidecarOptions options;
    options.node = kSidecarName;
    options.incarnation = kSidecar;
    options.limit = 1;
    return options;
  }
  void Send(const NodeId& entry, const Message& message) override {
    if (const auto* it = std::get_if<StageFailure>(&message)) {
      actions.push_back(StrCat("failure ", Text(it->key), " ",
                               Name(it->verdict), " ", Name(it->reason)));
    } else if (const auto* chunk = std::get_if<StageChunk>(&message)) {
      actions.push_back(StrCat("chunk ", Text(chunk->key), " ", chunk->sequence,
                               chunk->last ? " last" : ""));
    }
  }
  void CallUpstream(UpstreamCallId id,
                    const StageCall& call,
                    DurationUs time_left) override {
    actions.push_back(StrCat("upstream ", id, " ", Text(call.key)));
  }
  void CancelUpstream(UpstreamCallId id) override {
    actions.push_back(StrCat("cancel ", id));
  }
  void Export(const Span& span) override {}

  Metrics metrics_;
  Sidecar core_;
};

class EntryReplay : public Replay, EntryOutput {
 public:
  EntryReplay() : random_(1), core_(Options(), this, &random_, &metrics_) {
    core_.OnSettings(now, Settings().With(*ParseBranch("platform", 1, R"({
        "pools":{"orders":{"replicas":[{"node":"orders-1"}]}},
        "accounts":{"office":{}},
        "events":{"round":{"stages":[{"pool":"orders"}],
                           "accounts":["office"]}}})")));
    ReceiveHeartbeat(kSidecar);
  }

  void PassTo(TimeUs at) override { Replay::PassTo(&core_, at); }

  void ApplyInput(const std::string& name, const Json& in) override {
    if (name == "request") {
      CallerRequest request =
          in.contains("key")
              ? CoreDriver::MakeOnce(in.at("key"), in.value("body", "{}"))
              : CoreDriver::MakeRequest(in.value("body", "{}"));
      request.handle = in.at("copy");
      request.deadline = in.value("deadline_ms", 1000) * kMillisecond;
      core_.OnRequest(now, request);
    } else if (name == "chunk") {
      StageChunk chunk;
      chunk.key = KeyOf(in);
      chunk.sidecar = in.value("sidecar", kSidecar);
      chunk.sequence = in.value("sequence", 0U);
      chunk.last = in.value("last", true);
      chunk.body = in.value("body", "{}");
      core_.OnMessage(now, kSidecarName, chunk);
    } else if (name == "table") {
      AnswerTable(in);
    } else if (name == "sidecar_lost") {
      core_.OnPeerLost(now, kSidecarName);
    } else if (name == "heartbeat") {
      ReceiveHeartbeat(in.value("sidecar", kSidecar));
    } else {
      throw std::runtime_error("unknown input " + name);
    }
  }

 private:
  static EntryOptions Options() {
    EntryOptions options;
    options.node = kEntryName;
    options.incarnation = kEntry;
    return options;
  }
  void ReceiveHeartbeat(Incarnation incarnation) {
    Heartbeat heartbeat;
    heartbeat.role = Role::kSidecar;
    heartbeat.state = NodeState::kReady;
    heartbeat.load.limit = 4;
    core_.OnHeartbeat(now, kSidecarName, incarnation, heartbeat);
  }
  // Answers the oldest pending store call. "ok" applies it; "lost" applies it,
  // but reports the outcome as unknown; "down" does not apply it and reports
  // the store as unavailable.
  void AnswerTable(const Json& in) {
    const auto it = calls_.begin();
    if (it == calls_.end()) {
      throw std::runtime_error(
          "the trace answers a store call, but none is pending");
    }
    const auto [ticket, ops] = *it;
    calls_.erase(it);
    const std::string answer_kind = in.at("answer");
    StoreAnswer answer = {StoreStatus::kUnavailable, {}};
    if (answer_kind != "down") {
      answer = table_.Transact(ops);
    }
    if (answer_kind == "lost") {
      answer = {StoreStatus::kUnknown, {}};
    }
    core_.OnStoreAnswer(now, ticket, answer);
  }
  void Send(const NodeId& sidecar, const Message& message) override {
    if (const auto* call = std::get_if<StageCall>(&message)) {
      actions.push_back(StrCat("call ", Text(call->key)));
    } else if (const auto* cancel = std::get_if<StageCancel>(&message)) {
      actions.push_back(StrCat("cancel ", Text(cancel->key)));
    }
  }
  void Answer(CallerHandle handle, const CallerAnswer& answer) override {
    actions.push_back(StrCat("told ", handle, " ", Name(answer.verdict), " ",
                             Name(answer.reason)));
  }
  void Stream(CallerHandle handle, std::string_view part) override {}
  void CallStore(StoreTicket ticket, std::vector<StoreOp> ops) override {
    actions.emplace_back("table");
    calls_[ticket] = std::move(ops);
  }
  void Export(const Span& span) override {}

  Random random_;
  Metrics metrics_;
  FakeTable table_;
  std::map<StoreTicket, std::vector<StoreOp>> calls_;
  Entry core_;
};

void ReplayFile(const std::filesystem::path& path) {
  SCOPED_TRACE(path.filename().string());
  std::ifstream file(path);
  std::string line;
  std::unique_ptr<Replay> replay;
  std::size_t checked = 0;
  for (int number = 1; std::getline(file, line); ++number) {
    SCOPED_TRACE(StrCat("line ", number, ": ", line));
    const Json in = Json::parse(line);
    if (in.contains("core")) {
      replay = in.at("core") == "entry"
                   ? std::unique_ptr<Replay>(new EntryReplay())
                   : std::unique_ptr<Replay>(new SidecarReplay());
    } else if (in.contains("out")) {
      ASSERT_LT(checked, replay->actions.size())
          << "expected another action, but the core took none";
      EXPECT_EQ(replay->actions[checked++], in.at("out").get<std::string>());
    } else {
      ASSERT_EQ(checked, replay->actions.size())
          << "action not stated in the trace: " << replay->actions[checked];
      replay->PassTo(kStart + in.at("at_ms").get<TimeUs>() * kMillisecond);
      if (in.contains("in")) {
        replay->ApplyInput(in.at("in"), in);
      }
    }
  }
  ASSERT_TRUE(replay) << "the trace does not name a core";
  ASSERT_EQ(checked, replay->actions.size())
      << "action not stated in the trace: " << replay->actions[checked];
}

TEST(TraceReplayTest, EveryTraceEndsAsStated) {
  int traces = 0;
  for (const auto& it :
       std::filesystem::directory_iterator(ACACIACHUTE_TRACE_DIR)) {
    if (it.path().extension() == ".jsonl") {
      ReplayFile(it.path());
      ++traces;
    }
  }
  EXPECT_GT(traces, 0);
}

}  // namespace
}  // namespace acaciachute
