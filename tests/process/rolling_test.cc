// Process tests of rolling restarts: all sidecars or all entries are restarted
// one after the other under load.
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "tests/process/harness.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kEntries = 2;
constexpr int kServiceMs = 60;
constexpr std::size_t kConcurrentRequests = 8;
constexpr DurationUs kWaitTimeout = 30 * kSecond;
// Interval of the load balancer's checks of /readyz. Until its next check it
// keeps sending to an entry that is no longer ready.
constexpr DurationUs kBalancerPeriod = kSecond;

// A request that the load sent.
struct SentRequest {
  std::string order;
  bool once = false;  // Non-idempotent, with an idempotency key.
  bool stream = false;
  StartedCallPtr call;
};

// Plays a load balancer with clients: keeps `kConcurrentRequests` requests in
// progress at the entries that were ready at the last check. A third each are
// non-idempotent requests, streams and plain requests.
class Load {
 public:
  explicit Load(Deployment* deployment) : deployment_(deployment) {}

  // Checks the entries when due and replaces finished requests. Called on each
  // evaluation of a condition that the test waits for.
  void Poll() {
    if (Loop::Now() >= next_check_) {
      CheckReadiness();
      next_check_ = Loop::Now() + kBalancerPeriod;
    }
    std::erase_if(in_progress_, [](const auto& it) { return it->done; });
    while (in_progress_.size() < kConcurrentRequests && !ready_.empty()) {
      SendOne();
    }
  }

  const std::vector<SentRequest>& sent() const { return sent_; }

  std::vector<StartedCallPtr> Calls() const {
    std::vector<StartedCallPtr> calls;
    calls.reserve(sent_.size());
    for (const auto& it : sent_) {
      calls.push_back(it.call);
    }
    return calls;
  }

 private:
  void CheckReadiness() {
    ready_.clear();
    for (int n = 0; n < kEntries; ++n) {
      if (deployment_->Get(deployment_->entries[n]->url() + "/readyz").status ==
          200) {
        ready_.push_back(n);
      }
    }
  }

  void SendOne() {
    const std::size_t n = sent_.size();
    SentRequest it;
    it.order = StrCat("rolling-", n);
    it.once = n % 3 == 0;
    it.stream = n % 3 == 1;
    auto request = deployment_->EventRequest(ready_[n % ready_.size()],
                                             Json{{"order", it.order}}.dump());
    if (it.once) {
      request.headers.emplace_back("Idempotency-Key", it.order);
      request.headers.emplace_back("Acaciachute-Idempotent", "false");
    }
    if (it.stream) {
      request.headers.emplace_back("Accept", "text/event-stream");
    }
    it.call = deployment_->Start(request);
    in_progress_.push_back(it.call);
    sent_.push_back(std::move(it));
  }

  Deployment* const deployment_;
  TimeUs next_check_ = 0;
  std::vector<int> ready_;
  std::vector<StartedCallPtr> in_progress_;
  std::vector<SentRequest> sent_;
};

bool AnsweredCompletely(const SentRequest& it) {
  const HttpResult& result = it.call->result;
  return result.status == 200 && result.ended() &&
         (!it.stream || Contains(result.body, "event: end"));
}

class RollingTest : public testing::Test {
 protected:
  RollingTest()
      : deployment_(ACACIACHUTE_BIN_DIR,
                    {{"encoders", "encode", 3, kServiceMs},
                     {"generators", "generate", 3, kServiceMs}},
                    kEntries),
        load_(&deployment_) {}

  void SetUp() override { ASSERT_TRUE(deployment_.WaitReady()); }

  bool WaitUnderLoad(const std::function<bool()>& condition) {
    return deployment_.WaitFor(
        [&] {
          load_.Poll();
          return condition();
        },
        kWaitTimeout);
  }

  bool WaitSent(std::size_t more) {
    const std::size_t end = load_.sent().size() + more;
    return WaitUnderLoad([&, end] { return load_.sent().size() >= end; });
  }

  void EndGracefully(Process* process) {
    process->Signal(SIGTERM);
    EXPECT_TRUE(WaitUnderLoad([process] { return !process->Running(); }));
    EXPECT_EQ(process->Wait(), 0);
  }

  // Whether all entries know every replica as ready.
  bool AllReady() {
    for (const auto& entry : deployment_.entries) {
      const Json in = Json::parse(
          deployment_.Get(entry->url() + "/status").body, nullptr, false);
      if (!in.is_object()) {
        return false;
      }
      for (const auto& it : in.at("replicas")) {
        if (it.at("state") != "ready") {
          return false;
        }
      }
    }
    return true;
  }

  void CheckAllAnswered() {
    ASSERT_TRUE(deployment_.WaitDone(load_.Calls(), kWaitTimeout));
    std::size_t answered = 0;
    for (const auto& it : load_.sent()) {
      answered += AnsweredCompletely(it) ? 1 : 0;
      EXPECT_TRUE(AnsweredCompletely(it))
          << it.order << ": " << it.call->result.status << " "
          << it.call->result.error << " " << it.call->result.body;
    }
    std::cout << "sent " << load_.sent().size() << ", completely answered "
              << answered << "\n";
    for (const auto& [body, runs] : RunsByBody()) {
      EXPECT_EQ(runs, 1) << body;
    }
  }

  // Number of runs of the first stage of each non-idempotent request, by body.
  std::map<std::string, int> RunsByBody() {
    std::set<std::string> once;
    for (const auto& it : load_.sent()) {
      if (it.once) {
        once.insert(Json{{"order", it.order}}.dump());
      }
    }
    std::map<std::string, int> runs;
    for (const auto& [unused, upstream] : deployment_.upstreams) {
      for (const auto& run :
           Json::parse(deployment_.Get(upstream->url() + "/runs").body)) {
        if (once.contains(run.at("body"))) {
          ++runs[run.at("body")];
        }
      }
    }
    return runs;
  }

  Deployment deployment_;
  Load load_;
};

// Each sidecar in turn receives SIGTERM with stage calls running and queued. It
// returns the queued calls as "not run", finishes the running ones and exits;
// all callers get complete answers.
TEST_F(RollingTest, SidecarsInTurn) {
  ASSERT_TRUE(WaitSent(50));
  std::vector<std::string> nodes;
  nodes.reserve(deployment_.sidecars.size());
  for (const auto& [node, unused] : deployment_.sidecars) {
    nodes.push_back(node);
  }
  for (const auto& node : nodes) {
    EndGracefully(deployment_.sidecars[node].get());
    deployment_.StartSidecar(node);
    ASSERT_TRUE(WaitUnderLoad([this] { return AllReady(); }));
  }
  ASSERT_TRUE(WaitSent(50));
  CheckAllAnswered();
}

// Each entry in turn receives SIGTERM. It reports not ready at once, but the
// load balancer keeps sending until its next check; the entry accepts these
// requests, finishes them and exits.
TEST_F(RollingTest, EntriesInTurn) {
  ASSERT_TRUE(WaitSent(50));
  for (int n = 0; n < kEntries; ++n) {
    EndGracefully(deployment_.entries[n].get());
    deployment_.StartEntry(n);
    ASSERT_TRUE(WaitUnderLoad([this] { return AllReady(); }));
    ASSERT_TRUE(WaitSent(50));
  }
  CheckAllAnswered();
}

}  // namespace
}  // namespace acaciachute
