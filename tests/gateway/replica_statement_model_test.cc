// Generated schedules of one gateway and replicas that state, at any moment,
// that they leave or rest, with connections that take any time that the
// settings allow. After a statement nothing reaches its replica but what was on
// its way.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/tables/freshness_plan.h"
#include "tests/gateway/gateway_rig.h"

namespace acaciachute {
namespace {

class StatementModel : public GatewayRig {
 public:
  static constexpr DurationUs kTick = 5 * kMillisecond;
  static constexpr DurationUs kTransitTime = 5 * kMillisecond;
  static constexpr DurationUs kAnswerTime = 40 * kMillisecond;

  StatementModel(DurationUs max_connect_time, std::size_t replicas)
      : max_connect_time_(max_connect_time) {
    for (std::size_t n = 0; n < replicas; ++n) {
      AddReplica("r" + std::to_string(n), n % 2 == 0 ? "app" : "engine");
    }
  }

  // From now on the replica's answers state that it leaves, or are refusals
  // that ask for this rest.
  void Leave(const std::string& replica) { leaving_[replica] = true; }
  void Rest(const std::string& replica, DurationUs rest) {
    resting_[replica] = rest;
  }

  void Run(DurationUs time, DurationUs period, Random* draws) {
    const char* const routes[] = {"plain", "repeat", "stream", "resume"};
    for (const TimeUs end = now + time; now < end; Pass(kTick)) {
      for (; next_call_at_ <= now; next_call_at_ += period) {
        Call(routes[draws->Below(4)]);
      }
      core.OnConfirmed(now);
      TakeSent(draws);
      DropCancelled();
      Connect();
      AnswerDue(draws);
    }
  }
  // Number of requests that arrived although nothing was on its way.
  std::size_t unwanted() const { return unwanted_; }

 private:
  struct Open {
    CallId call = 0;
    std::string replica;
    TimeUs connected_at = 0;
    bool arrived = false;
  };

  void TakeSent(Random* draws) {
    for (; taken_ < sent.size(); ++taken_) {
      const auto& it = sent[taken_];
      const DurationUs connect_time = static_cast<DurationUs>(
          draws->Below(static_cast<std::uint64_t>(max_connect_time_) + 1));
      connecting.insert(it.call);
      open_.push_back({it.call, it.replica.name, now + connect_time});
    }
  }
  // The gateway has closed the connection, so it receives no answer.
  void DropCancelled() {
    for (const CallId call : std::exchange(cancelled, {})) {
      connecting.erase(call);
      std::erase_if(open_, [&](const Open& it) { return it.call == call; });
    }
  }
  void Connect() {
    for (Open& it : open_) {
      if (!it.arrived && now >= it.connected_at &&
          connecting.erase(it.call) > 0) {
        it.arrived = true;
        const TimeUs at = now + kTransitTime;
        const auto closed = closed_.find(it.replica);
        unwanted_ += closed != closed_.end() && now > closed->second.from &&
                     at < closed->second.until;
      }
    }
    // The others were recalled.
    std::erase_if(open_, [&](const Open& it) {
      return !it.arrived && !connecting.contains(it.call);
    });
  }
  void AnswerDue(Random* draws) {
    std::vector<Open> due;
    std::erase_if(open_, [&](const Open& it) {
      const bool is_due =
          it.arrived && now >= it.connected_at + 2 * kTransitTime + kAnswerTime;
      if (is_due) {
        due.push_back(it);
      }
      return is_due;
    });
    for (const Open& it : due) {
      AnswerOne(it);
      TakeSent(draws);
    }
  }
  void AnswerOne(const Open& it) {
    ReplicaHead head = Head();
    head.statement.proven = true;
    head.statement.leaving = leaving_[it.replica];
    const DurationUs rest = resting_[it.replica];
    if (rest > 0) {
      head = NotRun();
      head.statement.refused = true;
      head.statement.rest = rest;
    }
    Closed& closed = closed_[it.replica];
    const bool closes = head.statement.leaving || rest > 0;
    if (closes && closed.until < now) {
      closed.from = now;
    }
    if (head.statement.leaving) {
      closed.until = now + 3600 * kSecond;
    } else if (rest > 0) {
      closed.until = std::max(closed.until, now + rest);
    }
    AnswerWith(it.call, head, rest > 0 ? "" : "id: 1\ndata: x\n\n");
  }

  struct Closed {
    TimeUs from = 0;
    TimeUs until = -1;
  };

  const DurationUs max_connect_time_;
  std::map<std::string, bool> leaving_;
  std::map<std::string, DurationUs> resting_;
  std::map<std::string, Closed> closed_;
  std::vector<Open> open_;
  std::size_t taken_ = 0;
  std::size_t unwanted_ = 0;
  TimeUs next_call_at_ = now;
};

RC_GTEST_PROP(ReplicaStatementModelTest, NothingIsSentAfterAStatement, ()) {
  const DurationUs bound =
      *rc::gen::inRange<DurationUs>(kMinFreshnessBound / kMillisecond, 20'000) *
      kMillisecond;
  const std::size_t replicas = *rc::gen::inRange<std::size_t>(2, 10);
  StatementModel model(PlanFreshness(bound, bound).Connect(), replicas);
  Random draws(*rc::gen::arbitrary<std::uint64_t>());
  const DurationUs period =
      *rc::gen::inRange<DurationUs>(5, 100) * kMillisecond;
  const int steps = *rc::gen::inRange(1, 8);
  for (int n = 0; n < steps; ++n) {
    model.Run(*rc::gen::inRange<DurationUs>(50, 3000) * kMillisecond, period,
              &draws);
    const std::string replica = "r" + std::to_string(draws.Below(replicas));
    switch (draws.Below(4)) {
      case 0:
        model.Leave(replica);
        break;
      case 1:
        model.Rest(replica, 0);
        break;
      default:
        model.Rest(replica, static_cast<DurationUs>(draws.Below(5000) + 1) *
                                kMillisecond);
    }
  }
  model.Run(5 * kSecond, period, &draws);
  RC_ASSERT(model.unwanted() == 0U);
}

}  // namespace
}  // namespace acaciachute
