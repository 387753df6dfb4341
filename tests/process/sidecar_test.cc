// Process tests of sidecars: signals, crashes of upstreams, bad answers and
// fenced control orders.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <set>

#include "state/metrics.h"
#include "tests/process/harness.h"
#include "text.h"
#include "transport/peer_mesh.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr DurationUs kWaitTimeout = 20 * kSecond;

int RunsAt(Deployment* deployment, const std::string& node) {
  const auto log = Json::parse(
      deployment->Get(deployment->upstreams[node]->url() + "/runs").body,
      nullptr, false);
  return static_cast<int>(log.size());
}

// Sends `count` requests at once, calls `meanwhile`, and returns the answers
// when all have arrived.
std::vector<HttpResult> SendAll(Deployment* deployment,
                                HttpClient* client,
                                int count,
                                const std::function<void()>& meanwhile) {
  std::vector<HttpResult> results;
  for (int n = 0; n < count; ++n) {
    client->Call(deployment->EventRequest(0, StrCat("{\"n\":", n, "}")),
                 [&](const HttpResult& it) { results.push_back(it); });
  }
  meanwhile();
  EXPECT_TRUE(deployment->WaitFor(
      [&] { return static_cast<int>(results.size()) == count; }, kWaitTimeout));
  return results;
}

// One of two fully loaded sidecars receives SIGTERM. It finishes its running
// calls and sends their answers; it returns its queued calls as "not run", and
// the other replica answers them. The process exits with status 0.
TEST(SidecarProcessTest, ShutdownUnderLoadCutsNoRequest) {
  Deployment deployment(ACACIACHUTE_BIN_DIR,
                        {{"models", "generate", 2, /*service_ms=*/100, 4}}, 1);
  ASSERT_TRUE(deployment.WaitReady());
  HttpClient client(0);
  const auto results = SendAll(&deployment, &client, 40, [&] {
    ASSERT_TRUE(deployment.WaitFor(
        [&] { return RunsAt(&deployment, "models-1") >= 2; }, kWaitTimeout));
    deployment.sidecars["models-1"]->Signal(SIGTERM);
  });
  for (const auto& it : results) {
    EXPECT_EQ(it.status, 200) << it.body << it.error;
  }
  EXPECT_EQ(deployment.sidecars["models-1"]->Wait(), 0);
}

// The upstream reports that it is leaving while an entry keeps sending. Its
// sidecar stops accepting calls within the time limit, so the upstream's run
// log does not grow and the other replica answers all requests.
TEST(SidecarProcessTest, LeavingUpstreamGetsNothingNew) {
  Deployment deployment(ACACIACHUTE_BIN_DIR,
                        {{"models", "generate", 2, /*service_ms=*/5, 4}}, 1);
  ASSERT_TRUE(deployment.WaitReady());
  deployment.Post(deployment.upstreams["models-1"]->url() + "/faults",
                  R"({"leaving":true})");
  ASSERT_TRUE(deployment.WaitFor(
      [&] {
        return deployment
                   .Get(deployment.sidecars["models-1"]->url() + "/readyz")
                   .status == 503;
      },
      kWaitTimeout));
  const int before = RunsAt(&deployment, "models-1");
  for (int n = 0; n < 50; ++n) {
    const auto result =
        deployment.Call(deployment.EventRequest(0, StrCat("{\"n\":", n, "}")));
    EXPECT_EQ(result.status, 200) << result.body;
  }
  EXPECT_EQ(RunsAt(&deployment, "models-1"), before);
}

// A request crashes every upstream that runs it. After two of four upstreams
// have crashed, a resend to the other entry is refused at once as "not run"; an
// operator sees the conviction in that entry's quarantine list and lifts it.
TEST(SidecarProcessTest, PoisonIsConvictedSeenAndLifted) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, {{"models", "generate", 4}}, 2);
  ASSERT_TRUE(deployment.WaitReady());
  for (const auto& [unused, upstream] : deployment.upstreams) {
    deployment.Post(upstream->url() + "/faults", R"({"crash_on":"poison"})");
  }
  const auto poison = [&](int entry) {
    return deployment.Call(deployment.EventRequest(entry, R"({"x":"poison"})"));
  };
  EXPECT_EQ(poison(0).status, 422);
  const auto resend = poison(1);
  EXPECT_EQ(resend.status, 422) << resend.body;
  EXPECT_TRUE(Contains(resend.body, "\"verdict\":\"not_run\"")) << resend.body;
  const auto dead = [&] {
    return std::count_if(deployment.upstreams.begin(),
                         deployment.upstreams.end(),
                         [](const auto& it) { return !it.second->Running(); });
  };
  // The harness learns of the end of a process only after its connections.
  deployment.WaitFor([&] { return dead() >= 2; }, kWaitTimeout);
  EXPECT_EQ(dead(), 2);
  const auto listed = Json::parse(
      deployment.Get(deployment.entries[1]->url() + "/quarantine").body,
      nullptr, false);
  ASSERT_EQ(listed["quarantine"].size(), 1) << listed;
  EXPECT_EQ(listed["quarantine"][0]["standing"], "convicted");
  for (const auto& [unused, upstream] : deployment.upstreams) {
    if (upstream->Running()) {
      deployment.Post(upstream->url() + "/faults", R"({"crash_on":""})");
    }
  }
  const Json lift = {{"fingerprint", listed["quarantine"][0]["fingerprint"]}};
  EXPECT_EQ(
      deployment
          .Post(deployment.entries[1]->url() + "/quarantine/lift", lift.dump())
          .status,
      200);
  EXPECT_TRUE(deployment.WaitFor([&] { return poison(0).status == 200; },
                                 kWaitTimeout));
}

// Sets `faults` at the only upstream and sends one request.
HttpResult SendWithFault(Deployment* deployment,
                         const std::string& faults,
                         bool stream = false) {
  deployment->Post(deployment->upstreams["models-1"]->url() + "/faults",
                   faults);
  HttpRequest request = deployment->EventRequest(0, R"({"x":"bad"})");
  request.headers.emplace_back("Acaciachute-Deadline-Ms", "600");
  if (stream) {
    request.headers.emplace_back("Accept", "text/event-stream");
  }
  return deployment->Call(request);
}

// The only upstream sends answers that are truncated, late, duplicated, for
// another request, or not JSON. Each caller gets the verdict "may have run" and
// no part of the bad answer, and the next good answer is delivered.
TEST(SidecarProcessTest, BadAnswersNeverReachACaller) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, {{"models", "generate", 1}}, 1);
  ASSERT_TRUE(deployment.WaitReady());
  for (const char* fault : {"cut", "late", "doubled", "foreign", "no_json"}) {
    const auto result = SendWithFault(
        &deployment, Json{{"answer", fault}, {"late_ms", 1500}}.dump());
    EXPECT_GE(result.status, 500) << fault << result.body;
    EXPECT_TRUE(Contains(result.body, "\"verdict\":\"may_have_run\""))
        << fault << result.body;
    EXPECT_FALSE(Contains(result.body, "input")) << fault << result.body;
    const auto good = SendWithFault(&deployment, R"({"answer":"none"})");
    EXPECT_EQ(good.status, 200) << fault << good.body;
  }
}

// A stream is cut after each possible number of parts. A cut stream has no end
// marker, so the caller can detect that it is incomplete.
TEST(SidecarProcessTest, CutStreamNeverLooksWhole) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, {{"models", "generate", 1}}, 1);
  ASSERT_TRUE(deployment.WaitReady());
  for (int parts = 0; parts < 4; ++parts) {
    const auto result = SendWithFault(
        &deployment, Json{{"stream_parts", parts}}.dump(), /*stream=*/true);
    EXPECT_FALSE(Contains(result.body, "event: end")) << result.body;
  }
  const auto complete =
      SendWithFault(&deployment, R"({"stream_parts":4})", /*stream=*/true);
  EXPECT_TRUE(Contains(complete.body, "event: end")) << complete.body;
}

// Plays a lease holder: a node that sends control orders to a sidecar over the
// real transport.
struct LeaseHolder : PeerHandler {
  explicit LeaseHolder(const Deployment& deployment)
      : mesh({"entry-9",
              99,
              std::string(Deployment::kFrameKey),
              {"127.0.0.1", 0}},
             this,
             &metrics) {
    EXPECT_TRUE(mesh.Listen().ok());
    mesh.SetAddress(
        "models-1",
        {"127.0.0.1", deployment.sidecars.at("models-1")->frame_port()});
  }
  void OnPeerMessage(const NodeId& from,
                     Incarnation incarnation,
                     const Message& message) override {
    if (const auto* it = std::get_if<ControlOrderResult>(&message)) {
      results.push_back(*it);
    }
  }
  void OnPeerDatagram(const NodeId& from,
                      Incarnation incarnation,
                      const Message& message) override {
    if (const auto* it = std::get_if<Heartbeat>(&message)) {
      sidecar = incarnation;
      fence = it->fence;
    }
  }
  void OnPeerLost(const NodeId& peer) override {}
  void OnUnsent(const NodeId& peer, const Message& message) override {}

  Refusal SendOrder(Deployment* deployment,
                    const std::string& id,
                    FenceNumber fence,
                    OrderKind kind = OrderKind::kLoadModel) {
    ControlOrder order;
    order.order_id = id;
    order.sidecar = sidecar;
    order.kind = kind;
    order.fence = fence;
    order.model = "notices";
    const std::size_t before = results.size();
    mesh.Send("models-1", order);
    // A sidecar that has just started answers kNotCurrent until it knows the
    // state of its upstream; the order is then sent again.
    EXPECT_TRUE(deployment->WaitFor(
        [&] {
          if (results.size() == before) {
            return false;
          }
          if (results.back().reason != Refusal::kNotCurrent) {
            return true;
          }
          results.pop_back();
          mesh.Send("models-1", order);
          return false;
        },
        kWaitTimeout));
    return results.empty() ? Refusal::kNotCurrent : results.back().reason;
  }
  // Waits for a heartbeat in which the sidecar reports the fencing number
  // `in_force`; false after a time-out.
  bool WaitForFence(Deployment* deployment, FenceNumber in_force) {
    sidecar = 0;
    return deployment->WaitFor(
        [&] {
          mesh.SendDatagram("models-1", Heartbeat());
          return sidecar != 0 && fence == in_force;
        },
        kWaitTimeout);
  }

  Metrics metrics;
  Incarnation sidecar = 0;
  FenceNumber fence = 0;
  std::vector<ControlOrderResult> results;
  PeerMesh mesh;
};

// Writes the row of the lease as its holder does.
void SetLease(Deployment* deployment, FenceNumber fence, int version) {
  const Json op = {
      {"op", version == 0 ? "insert" : "update"},
      {"key", "lease/models"},
      {"version", version},
      {"value", Json{{"holder", "entry-9"}, {"fence", fence}}.dump()}};
  const auto result =
      deployment->Post(deployment->platform->url() + "/v1/table/transact",
                       Json{{"ops", Json::array({op})}}.dump());
  ASSERT_EQ(result.status, 200) << result.body;
}

std::size_t ExecutedOrderCount(Deployment* deployment) {
  return Json::parse(
             deployment
                 ->Get(deployment->upstreams["models-1"]->url() + "/orders")
                 .body,
             nullptr, false)
      .size();
}

void RestartSidecar(Deployment* deployment) {
  deployment->sidecars["models-1"]->Signal(SIGKILL);
  deployment->sidecars["models-1"]->Wait();
  deployment->StartSidecar("models-1");
}

// The lease passes from one holder to the next, and an order of the earlier one
// arrives late, both before and after a restart of the sidecar. The upstream
// ignores fencing numbers, so the sidecar alone must refuse the late order. The
// upstream's log shows that only orders with the current number were executed,
// each once.
TEST(SidecarProcessTest, OldOrderIsNeverCarriedOut) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, {{"models", "generate", 1}}, 1);
  ASSERT_TRUE(deployment.WaitReady());
  deployment.Post(deployment.upstreams["models-1"]->url() + "/faults",
                  R"({"keeps_fence":false})");
  SetLease(&deployment, 1, 0);
  RestartSidecar(&deployment);
  LeaseHolder holder(deployment);
  ASSERT_TRUE(holder.WaitForFence(&deployment, 1));
  SetLease(&deployment, 2, 1);
  EXPECT_EQ(holder.SendOrder(&deployment, "a", 2), Refusal::kNone);
  EXPECT_EQ(holder.SendOrder(&deployment, "a", 2), Refusal::kNone);
  EXPECT_EQ(ExecutedOrderCount(&deployment), 1);
  SetLease(&deployment, 3, 2);
  EXPECT_EQ(holder.SendOrder(&deployment, "b", 2), Refusal::kFenced);
  EXPECT_EQ(holder.results.back().fence, 3);
  RestartSidecar(&deployment);
  ASSERT_TRUE(holder.WaitForFence(&deployment, 3));
  EXPECT_EQ(holder.SendOrder(&deployment, "b", 2), Refusal::kFenced);
  EXPECT_EQ(ExecutedOrderCount(&deployment), 1);
  SetLease(&deployment, 4, 3);
  EXPECT_EQ(holder.SendOrder(&deployment, "c", 4), Refusal::kNone);
  EXPECT_EQ(ExecutedOrderCount(&deployment), 2);
}

// After an order to leave, the upstream gets no new calls, without any further
// fault or signal.
TEST(SidecarProcessTest, OrderToLeaveClosesTheUpstream) {
  Deployment deployment(ACACIACHUTE_BIN_DIR, {{"models", "generate", 2}}, 1);
  ASSERT_TRUE(deployment.WaitReady());
  LeaseHolder holder(deployment);
  ASSERT_TRUE(holder.WaitForFence(&deployment, 0));
  SetLease(&deployment, 1, 0);
  EXPECT_EQ(holder.SendOrder(&deployment, "a", 1, OrderKind::kLeave),
            Refusal::kNone);
  const int before = RunsAt(&deployment, "models-1");
  for (int n = 0; n < 20; ++n) {
    const auto result =
        deployment.Call(deployment.EventRequest(0, StrCat("{\"n\":", n, "}")));
    EXPECT_EQ(result.status, 200) << result.body;
  }
  EXPECT_EQ(RunsAt(&deployment, "models-1"), before);
}

}  // namespace
}  // namespace acaciachute
