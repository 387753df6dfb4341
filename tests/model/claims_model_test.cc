// Model check of claims: every interleaving of two entries, one table and one
// upstream pool around one key, with a bounded number of faults. The entries
// are the production ones; the table, the sidecars and the clocks are modelled.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/interface/entry.h"
#include "state/claim.h"
#include "tests/core_driver.h"
#include "tests/model/explore.h"
#include "text.h"

namespace acaciachute {
namespace {

// Safeguards that a mutation disables, at the interface between entry and
// table.
enum class Mutation {
  kNone,
  kClaimSkipped,     // The table accepts every write.
  kNonceUncompared,  // An entry accepts every row as its own.
};

struct Bounds {
  int faults = 2;
  int ticks = 1;   // Number of long waits of an entry that end.
  int copies = 3;  // Number of copies of the request.
  std::size_t max_states = 400'000;
};

constexpr int kEntries = 2;
constexpr DurationUs kInputTime = kMillisecond;
// Maximum wait that counts as an entry's own batching and not as another state.
constexpr DurationUs kShortWait = 50 * kMillisecond;
constexpr char kKey[] = "k";

class ClaimsWorld {
 public:
  ClaimsWorld(Mutation mutation, const Bounds& bounds)
      : mutation_(mutation), bounds_(bounds) {
    for (int n = 0; n < kEntries; ++n) {
      Start(n);
    }
  }

  std::vector<Step> Steps();

  std::string Violation() const {
    if (runs_.size() > 1) {
      return StrCat("ran ", runs_.size(), " times");
    }
    for (const auto& [handle, answers] : answers_) {
      if (answers.size() > 1) {
        return StrCat("copy ", handle, " answered twice");
      }
      const bool ran = std::count(runs_.begin(), runs_.end(), handle) > 0;
      if (answers[0].verdict == Verdict::kNotRun && ran) {
        return StrCat("copy ", handle, " answered not_run, but ran");
      }
      if (answers[0].verdict == Verdict::kAnswered &&
          (runs_.empty() || answers[0].body != BodyOf(runs_[0]))) {
        return StrCat("copy ", handle,
                      " received an answer that belongs to no run");
      }
    }
    return "";
  }

  // An entry's state follows from its inputs, so the inputs represent it. Its
  // times follow from them too.
  std::string Signature() const {
    std::string out = StrCat(faults_, " ", ticks_, " ", copies_, ";");
    for (const auto& it : hosts_) {
      out += StrCat(it.history, ";");
    }
    for (const auto& [key, row] : rows_) {
      out += StrCat(key, "=", row.version, row.value, ";");
    }
    // Calls in flight are unordered.
    std::vector<std::string> in_flight;
    for (const auto& it : store_calls_) {
      in_flight.push_back(StrCat(it.entry, ".", it.start_count, ".", it.ticket,
                                 it.late ? "L" : ""));
    }
    for (const auto& it : calls_) {
      const StageKey& key = it.call.key;
      in_flight.push_back(StrCat(it.entry, ".", it.start_count, ":",
                                 NameOf(key), it.disconnected ? "C" : ""));
    }
    std::sort(in_flight.begin(), in_flight.end());
    for (const auto& it : in_flight) {
      out += it + ";";
    }
    for (const auto handle : runs_) {
      out += StrCat("r", handle);
    }
    return out;
  }

 private:
  struct Port : EntryOutput {
    Port(ClaimsWorld* owner, int index) : world(owner), n(index) {}
    void Send(const NodeId& sidecar, const Message& message) override {
      if (const auto* call = std::get_if<StageCall>(&message)) {
        world->calls_.push_back(
            {n, world->hosts_[n].start_count, sidecar, *call});
      }
    }
    void Answer(CallerHandle handle, const CallerAnswer& answer) override {
      world->answers_[handle].push_back(answer);
    }
    void Stream(CallerHandle, std::string_view) override {}
    void CallStore(StoreTicket ticket, std::vector<StoreOp> ops) override {
      for (const auto& op : ops) {
        if (op.kind == StoreOpKind::kInsert ||
            op.kind == StoreOpKind::kUpdate) {
          if (const auto claim = DecodeClaim(op.value); claim.ok()) {
            world->hosts_[n].own_claim = *claim;
          }
        }
      }
      world->store_calls_.push_back(
          {n, world->hosts_[n].start_count, ticket, std::move(ops)});
    }
    void Export(const Span&) override {}

    ClaimsWorld* const world;
    const int n;
  };

  struct Host {
    std::unique_ptr<Port> port;
    std::unique_ptr<Random> random;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<Entry> core;
    TimeUs now = kSecond;
    int start_count = 0;
    std::string history;
    std::optional<Claim> own_claim;
  };
  struct StoreCall {
    int entry;
    int start_count;
    StoreTicket ticket;
    std::vector<StoreOp> ops;
    // The sender received no answer; the write may be applied later.
    bool late = false;
  };
  struct Call {
    int entry;
    int start_count;
    NodeId sidecar;
    StageCall call;
    // The connection was lost while the call was in flight.
    bool disconnected = false;
  };

  static SettingsPtr MakeSettings() {
    static const SettingsPtr kSettings = Settings().With(
        *ParseBranch("platform", 1,
                     R"({"pools":{"orders":{"replicas":[{"node":"orders-1"},
            {"node":"orders-2"}]}},"accounts":{"office":{}},
            "events":{"round":{"stages":[{"pool":"orders"}],
            "accounts":["office"]}}})"));
    return kSettings;
  }

  static std::string NameOf(const StageKey& key) {
    return StrCat(key.request.sequence, "/", key.attempt, " ");
  }

  static std::string BodyOf(CallerHandle handle) {
    return StrCat("{\"run\":", handle, "}");
  }

  void Start(int n) {
    Host& host = hosts_[n];
    ++host.start_count;
    host.history += StrCat("start", host.start_count, ",");
    host.own_claim.reset();
    const auto seed = std::uint64_t{100} * n + host.start_count;
    host.port = std::make_unique<Port>(this, n);
    host.random = std::make_unique<Random>(seed);
    host.metrics = std::make_unique<Metrics>();
    EntryOptions options;
    options.node = StrCat("entry-", n);
    options.incarnation = seed;
    host.core = std::make_unique<Entry>(options, host.port.get(),
                                        host.random.get(), host.metrics.get());
    host.core->OnSettings(host.now, MakeSettings());
    for (const char* node : {"orders-1", "orders-2"}) {
      Heartbeat heartbeat;
      heartbeat.role = Role::kSidecar;
      heartbeat.state = NodeState::kReady;
      heartbeat.load.limit = 4;
      host.core->OnHeartbeat(host.now, node, 7, heartbeat);
    }
  }

  // Passes one input to entry `n` and lets its short waits pass.
  void Input(int n,
             const std::string& name,
             const std::function<void(Host*)>& f) {
    Host& host = hosts_[n];
    host.history += name + ",";
    host.now += kInputTime;
    f(&host);
    while (host.core->NextWakeup() <= host.now + kShortWait) {
      host.now = std::max(host.now, host.core->NextWakeup());
      host.core->OnTick(host.now);
    }
  }

  void Ask(int n) {
    ++copies_;
    const CallerHandle handle = copies_;
    Input(n, StrCat("ask", handle), [handle](Host* host) {
      CallerRequest request = CoreDriver::MakeOnce(kKey, "{}");
      request.handle = handle;
      // Identifies the copy at the upstream.
      request.traceparent =
          FormatTraceparent({1, static_cast<std::uint64_t>(handle), 1});
      host->core->OnRequest(host->now, request);
    });
  }

  StoreAnswer ApplyStore(const StoreCall& call) {
    StoreAnswer answer;
    const bool all_hold = mutation_ == Mutation::kClaimSkipped;
    for (const auto& op : call.ops) {
      const StoreRow& row = rows_[op.key];
      const bool holds = op.kind == StoreOpKind::kInsert ? row.version == 0
                         : op.kind == StoreOpKind::kUpdate
                             ? row.version == op.version
                             : true;
      if (!holds && !all_hold) {
        answer.rows.push_back(row);
      }
    }
    answer.status =
        answer.rows.empty() ? StoreStatus::kOk : StoreStatus::kConflict;
    if (answer.status == StoreStatus::kOk) {
      for (const auto& op : call.ops) {
        StoreRow& row = rows_[op.key];
        row.key = op.key;
        if (op.kind != StoreOpKind::kRead) {
          row.value = op.value;
          ++row.version;
        }
        answer.rows.push_back(row);
      }
    }
    const auto& own = hosts_[call.entry].own_claim;
    if (mutation_ == Mutation::kNonceUncompared && own) {
      for (auto& row : answer.rows) {
        if (auto claim = DecodeClaim(row.value); claim.ok()) {
          claim->nonce = own->nonce;
          row.value = EncodeClaim(*claim);
        }
      }
    }
    return answer;
  }

  void DeliverStoreAnswer(const StoreCall& call,
                          const std::string& name,
                          const StoreAnswer& answer) {
    if (hosts_[call.entry].start_count != call.start_count) {
      return;
    }
    std::string input = StrCat(name, call.ticket);
    for (const auto& row : answer.rows) {
      input += StrCat("/", row.version, row.value);
    }
    Input(call.entry, input, [&](Host* host) {
      host->core->OnStoreAnswer(host->now, call.ticket, answer);
    });
  }

  StoreCall TakeStoreCall(std::size_t n) {
    StoreCall call = store_calls_[n];
    store_calls_.erase(store_calls_.begin() + static_cast<std::ptrdiff_t>(n));
    return call;
  }

  void AddStoreSteps(std::size_t n, std::vector<Step>* steps) {
    const StoreCall& call = store_calls_[n];
    const std::string name =
        StrCat("table call ", call.ticket, " of entry ", call.entry, " start ",
               call.start_count, ": ");
    if (call.late) {
      steps->push_back({name + "is applied late",
                        [this, n] { ApplyStore(TakeStoreCall(n)); }});
      return;
    }
    steps->push_back({name + "answered", [this, n] {
                        const StoreCall it = TakeStoreCall(n);
                        const StoreAnswer answer = ApplyStore(it);
                        DeliverStoreAnswer(it, "ok", answer);
                      }});
    if (faults_ >= bounds_.faults ||
        hosts_[call.entry].start_count != call.start_count) {
      return;
    }
    steps->push_back(
        {name + "takes effect, answer lost", [this, n] {
           ++faults_;
           const StoreCall it = TakeStoreCall(n);
           ApplyStore(it);
           DeliverStoreAnswer(it, "lost", {StoreStatus::kUnknown, {}});
         }});
    steps->push_back(
        {name + "no answer, may be applied later", [this, n] {
           ++faults_;
           StoreCall it = TakeStoreCall(n);
           it.late = true;
           store_calls_.push_back(it);
           DeliverStoreAnswer(it, "lost", {StoreStatus::kUnknown, {}});
         }});
    steps->push_back({name + "refused", [this, n] {
                        ++faults_;
                        DeliverStoreAnswer(TakeStoreCall(n), "down",
                                           {StoreStatus::kUnavailable, {}});
                      }});
  }

  Call TakeCall(std::size_t n) {
    Call call = calls_[n];
    calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(n));
    return call;
  }

  void Run(const Call& call) {
    const auto trace = ParseTraceparent(call.call.traceparent);
    runs_.push_back(trace ? trace->trace_low : 0);
  }

  void DeliverSidecarMessage(const Call& call, const Message& message) {
    if (hosts_[call.entry].start_count == call.start_count &&
        !call.disconnected) {
      Input(call.entry, StrCat("m", message.index(), NameOf(call.call.key)),
            [&](Host* host) {
              host->core->OnMessage(host->now, call.sidecar, message);
            });
    }
  }

  void AddCallSteps(std::size_t n, std::vector<Step>* steps) {
    const Call& call = calls_[n];
    const std::string name =
        StrCat("call ", call.call.key.attempt, " of entry ", call.entry,
               " start ", call.start_count, ": ");
    steps->push_back({name + "runs", [this, n] {
                        const Call it = TakeCall(n);
                        Run(it);
                        StageChunk chunk;
                        chunk.key = it.call.key;
                        chunk.sidecar = it.call.sidecar;
                        chunk.last = true;
                        chunk.body = BodyOf(runs_.back());
                        DeliverSidecarMessage(it, chunk);
                      }});
    if (call.disconnected) {
      steps->push_back({name + "never arrives", [this, n] { TakeCall(n); }});
      return;
    }
    if (faults_ >= bounds_.faults) {
      return;
    }
    steps->push_back({name + "refused, not run", [this, n] {
                        ++faults_;
                        const Call it = TakeCall(n);
                        StageFailure failure;
                        failure.key = it.call.key;
                        failure.sidecar = it.call.sidecar;
                        failure.verdict = Verdict::kNotRun;
                        failure.reason = Refusal::kFull;
                        DeliverSidecarMessage(it, failure);
                      }});
    if (hosts_[call.entry].start_count == call.start_count) {
      steps->push_back({name + "connection breaks", [this, n] {
                          ++faults_;
                          Call it = TakeCall(n);
                          it.disconnected = true;
                          calls_.push_back(it);
                          Input(it.entry, StrCat("cut", NameOf(it.call.key)),
                                [&](Host* host) {
                                  host->core->OnPeerLost(host->now, it.sidecar);
                                });
                        }});
    }
  }

  const Mutation mutation_;
  const Bounds bounds_;
  std::array<Host, kEntries> hosts_;
  std::map<std::string, StoreRow> rows_;
  std::vector<StoreCall> store_calls_;
  std::vector<Call> calls_;
  std::map<CallerHandle, std::vector<CallerAnswer>> answers_;
  std::vector<CallerHandle> runs_;  // Copies that ran, in order.
  int faults_ = 0;
  int ticks_ = 0;
  int copies_ = 0;
};

std::vector<Step> ClaimsWorld::Steps() {
  std::vector<Step> steps;
  for (int n = 0; n < kEntries; ++n) {
    // The entries are identical, so the first copy goes to entry 0.
    if (copies_ < bounds_.copies && (copies_ > 0 || n == 0)) {
      steps.push_back({StrCat("copy ", copies_ + 1, " reaches entry ", n),
                       [this, n] { Ask(n); }});
    }
    if (faults_ < bounds_.faults && hosts_[n].core->InProgress() > 0) {
      steps.push_back(
          {StrCat("entry ", n, " stops and is replaced"), [this, n] {
             ++faults_;
             Start(n);
           }});
    }
    const bool waits = hosts_[n].core->NextWakeup() < kSecond * 3600;
    if (ticks_ < bounds_.ticks && waits) {
      steps.push_back(
          {StrCat("entry ", n, " waits to its next wakeup"), [this, n] {
             ++ticks_;
             hosts_[n].now = hosts_[n].core->NextWakeup();
             Input(n, "tick",
                   [](Host* host) { host->core->OnTick(host->now); });
           }});
    }
  }
  for (std::size_t n = 0; n < store_calls_.size(); ++n) {
    AddStoreSteps(n, &steps);
  }
  for (std::size_t n = 0; n < calls_.size(); ++n) {
    AddCallSteps(n, &steps);
  }
  return steps;
}

Exploration ExploreClaims(Mutation mutation, const Bounds& bounds) {
  auto out =
      Explore([&] { return std::make_unique<ClaimsWorld>(mutation, bounds); },
              bounds.max_states);
  std::cout << "states " << out.states << ", steps " << out.steps
            << (out.complete ? "" : ", not complete") << "\n"
            << TraceText(out) << (out.violation.empty() ? "" : "\n");
  return out;
}

// Two copies at any entries with any two faults and a wait that ends, and three
// copies with one fault, with messages and calls in flight in any order.
TEST(ClaimsModelTest, NoKeyRunsTwiceInAnyInterleaving) {
  for (const Bounds& bounds : {Bounds{2, 1, 2}, Bounds{1, 0, 3}}) {
    const auto out = ExploreClaims(Mutation::kNone, bounds);
    EXPECT_EQ(out.violation, "") << TraceText(out);
    EXPECT_TRUE(out.complete);
  }
}

// Without the condition on the insert, both copies hold the claim and both run.
TEST(ClaimsModelTest, FindsTheSkippedClaim) {
  EXPECT_NE(ExploreClaims(Mutation::kClaimSkipped, {}).violation, "");
}

// Without the nonce, an entry takes another's row for that of its own write
// whose answer was lost.
TEST(ClaimsModelTest, FindsTheUncomparedNonce) {
  EXPECT_NE(ExploreClaims(Mutation::kNonceUncompared, {}).violation, "");
}

}  // namespace
}  // namespace acaciachute
