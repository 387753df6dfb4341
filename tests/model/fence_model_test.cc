// Model check of fencing: every interleaving of two lease holders, one sidecar
// that may be replaced or suspended, and its upstream. The guard is the
// production one; the lease's row, the network and the upstream are modelled.
// Clocks are not modelled: a holder may be superseded at any moment and send
// any order later.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/control/fence.h"
#include "state/metrics.h"
#include "tests/model/explore.h"
#include "text.h"

namespace acaciachute {
namespace {

// Safeguards that a mutation disables, at the guard's interface.
enum class Mutation {
  kNone,
  kFenceUnchecked,  // Every order appears to carry the number in force.
  kRowUnread,       // The row appears to have the number of the order.
};

constexpr int kHolders = 2;
constexpr FenceNumber kMaxLeases = 2;
constexpr int kMaxOrders = 2;
constexpr int kMaxFaults = 1;
constexpr std::size_t kMaxStates = 400'000;
constexpr DurationUs kPause = 10 * kSecond;

class FenceWorld : public FenceOutput {
 public:
  FenceWorld(Mutation mutation, bool upstream_checks)
      : mutation_(mutation), upstream_checks_(upstream_checks) {
    Start();
  }

  std::vector<Step> Steps();

  // No old order is executed: numbers at the upstream never decrease, and an
  // order is executed once.
  std::string Violation() const {
    if (!std::is_sorted(executed_.begin(), executed_.end())) {
      return "an old order was executed after a newer one";
    }
    return executed_twice_ ? "an order was executed twice" : "";
  }

  // The guard's state follows from its inputs.
  std::string Signature() const {
    std::string out =
        StrCat(row_, " ", faults_, " ", orders_, ";", history_, ";",
               upstream_number_, executed_twice_ ? "!" : "", ";");
    for (const auto it : held_) {
      out += StrCat("h", it);
    }
    for (const auto it : executed_) {
      out += StrCat("c", it);
    }
    std::vector<std::string> in_flight;
    for (const auto& it : network_) {
      in_flight.push_back(
          StrCat("o", it.order_id, "/", it.fence, "/", it.sidecar));
    }
    for (const auto& it : reads_) {
      in_flight.push_back(StrCat("r", it.ticket, "/",
                                 it.number ? std::to_string(*it.number) : "-"));
    }
    std::sort(in_flight.begin(), in_flight.end());
    for (const auto& it : in_flight) {
      out += it + ";";
    }
    return out + (outcome_ ? StrCat("p", outcome_->id) : "");
  }

  // FenceOutput:
  void ReadLease(std::uint64_t ticket) override {
    // An answer to an earlier ticket is ignored, so only the last read is kept.
    reads_ = {{ticket, std::nullopt}};
  }
  // `Start` answers it.
  void ReadUpstreamFence() override {}
  void ForwardOrder(const ControlOrder& order) override {
    // The number of the order's holder, whatever number the guard was shown.
    const FenceNumber number = std::stoull(order.model_version);
    const bool refused = upstream_checks_ && number < upstream_number_;
    if (!refused) {
      upstream_number_ = std::max(upstream_number_, number);
      executed_.push_back(number);
      executed_twice_ =
          executed_twice_ || !executed_ids_.insert(order.order_id).second;
    }
    outcome_ = {order.order_id,
                refused ? OrderOutcome::kRefused : OrderOutcome::kDone};
  }
  void AnswerOrder(const NodeId&, const ControlOrderResult&) override {}

 private:
  struct Read {
    std::uint64_t ticket = 0;
    std::optional<FenceNumber> number;  // Empty until the read takes effect.
  };
  struct Outcome {
    std::string id;
    OrderOutcome outcome = OrderOutcome::kDone;
  };

  // Starts a new sidecar process; input in flight to the previous one is lost,
  // except orders.
  void Start() {
    ++incarnation_;
    reads_.clear();
    outcome_.reset();
    last_number_ = 0;
    history_ += StrCat("start", upstream_number_, ",");
    guard_ = std::make_unique<FenceGuard>(incarnation_, this, &metrics_);
    guard_->Start(now_);
    guard_->OnUpstreamFence(upstream_checks_,
                            upstream_checks_ ? upstream_number_ : 0);
  }

  void Send(int holder) {
    ++orders_;
    ControlOrder order;
    order.order_id = StrCat("order-", orders_);
    order.sidecar = incarnation_;
    order.fence = held_[holder];
    order.model_version = std::to_string(held_[holder]);
    network_.push_back(order);
  }

  void Deliver(ControlOrder order) {
    history_ += StrCat("o", order.order_id, "/", order.fence, ",");
    if (mutation_ == Mutation::kFenceUnchecked) {
      order.fence = std::max(row_, guard_->in_force());
    }
    last_number_ = order.fence;
    guard_->OnOrder(++now_, "entry-0", order);
  }

  void AnswerRead(std::size_t n, bool lost) {
    const Read read = reads_[n];
    reads_.erase(reads_.begin() + static_cast<std::ptrdiff_t>(n));
    std::optional<FenceNumber> number = read.number;
    if (mutation_ == Mutation::kRowUnread) {
      number = last_number_;
    }
    if (lost) {
      number.reset();
    }
    history_ += StrCat("r", read.ticket, "/",
                       number ? std::to_string(*number) : "-", ",");
    guard_->OnLease(++now_, read.ticket, number);
  }

  void AddReadSteps(std::size_t n, std::vector<Step>* steps) {
    const std::string name = StrCat("read ", reads_[n].ticket, ": ");
    if (!reads_[n].number) {
      steps->push_back(
          {name + "takes effect", [this, n] { reads_[n].number = row_; }});
      return;
    }
    steps->push_back({name + "answered", [this, n] { AnswerRead(n, false); }});
    if (faults_ < kMaxFaults) {
      steps->push_back({name + "lost", [this, n] {
                          ++faults_;
                          AnswerRead(n, true);
                        }});
    }
  }

  void AddOutcomeSteps(std::vector<Step>* steps) {
    const auto deliver = [this](OrderOutcome outcome) {
      const Outcome it = *outcome_;
      outcome_.reset();
      history_ += StrCat("p", it.id, "/", static_cast<int>(outcome), ",");
      guard_->OnOutcome(++now_, it.id, outcome, upstream_number_);
    };
    steps->push_back({"upstream answers an order",
                      [this, deliver] { deliver(outcome_->outcome); }});
    if (faults_ < kMaxFaults) {
      steps->push_back({"upstream's answer is lost", [this, deliver] {
                          ++faults_;
                          deliver(OrderOutcome::kUnknown);
                        }});
    }
  }

  void AddFaultSteps(std::vector<Step>* steps) {
    if (faults_ == kMaxFaults) {
      return;
    }
    steps->push_back({"sidecar is replaced", [this] {
                        ++faults_;
                        Start();
                      }});
    steps->push_back({"sidecar is paused", [this] {
                        ++faults_;
                        now_ += kPause;
                        history_ += "pause,";
                      }});
    for (std::size_t n = 0; n < network_.size(); ++n) {
      steps->push_back(
          {network_[n].order_id + " arrives and is duplicated", [this, n] {
             ++faults_;
             Deliver(network_[n]);
           }});
    }
  }

  const Mutation mutation_;
  const bool upstream_checks_;
  Metrics metrics_;
  TimeUs now_ = kSecond;
  Incarnation incarnation_ = 0;
  std::unique_ptr<FenceGuard> guard_;
  std::string history_;
  FenceNumber row_ = 0;
  // Number that each holder considers held.
  std::array<FenceNumber, kHolders> held_{};
  std::vector<ControlOrder> network_;
  std::vector<Read> reads_;
  std::optional<Outcome> outcome_;
  FenceNumber last_number_ = 0;
  int orders_ = 0;
  int faults_ = 0;
  // State of the upstream.
  FenceNumber upstream_number_ = 0;
  std::vector<FenceNumber> executed_;
  std::set<std::string> executed_ids_;
  bool executed_twice_ = false;
};

std::vector<Step> FenceWorld::Steps() {
  std::vector<Step> steps;
  for (int n = 0; n < kHolders; ++n) {
    // The holders are identical, so the first lease goes to holder 0.
    if (row_ < kMaxLeases && (row_ > 0 || n == 0)) {
      steps.push_back({StrCat("holder ", n, " takes the lease"),
                       [this, n] { held_[n] = ++row_; }});
    }
    if (held_[n] > 0 && orders_ < kMaxOrders) {
      steps.push_back({StrCat("holder ", n, " sends an order under ", held_[n]),
                       [this, n] { Send(n); }});
    }
  }
  for (std::size_t n = 0; n < network_.size(); ++n) {
    steps.push_back({network_[n].order_id + " arrives", [this, n] {
                       const ControlOrder order = network_[n];
                       network_.erase(network_.begin() +
                                      static_cast<std::ptrdiff_t>(n));
                       Deliver(order);
                     }});
  }
  for (std::size_t n = 0; n < reads_.size(); ++n) {
    AddReadSteps(n, &steps);
  }
  if (outcome_) {
    AddOutcomeSteps(&steps);
  }
  AddFaultSteps(&steps);
  return steps;
}

Exploration ExploreFence(Mutation mutation, bool upstream_checks) {
  auto out = Explore(
      [&] { return std::make_unique<FenceWorld>(mutation, upstream_checks); },
      kMaxStates);
  std::cout << "states " << out.states << ", steps " << out.steps
            << (out.complete ? "" : ", not complete") << "\n"
            << TraceText(out) << (out.violation.empty() ? "" : "\n");
  return out;
}

// A holder is superseded and resumes in the middle of an order, the sidecar is
// replaced or suspended, reads and outcomes are lost, and orders are
// duplicated. Upstreams that check numbers and those that ignore them execute
// no old order.
TEST(FenceModelTest, NoOldOrderInAnyInterleaving) {
  for (const bool upstream_checks : {false, true}) {
    const auto out = ExploreFence(Mutation::kNone, upstream_checks);
    EXPECT_EQ(out.violation, "") << TraceText(out);
    EXPECT_TRUE(out.complete);
  }
}

// Without the number, the order of a holder that resumes is forwarded.
TEST(FenceModelTest, FindsTheUncheckedFence) {
  EXPECT_NE(ExploreFence(Mutation::kFenceUnchecked, false).violation, "");
}

// Without the row, a sidecar that has not received the new holder's number, or
// was just replaced, accepts the old one's orders.
TEST(FenceModelTest, FindsTheUnreadRow) {
  EXPECT_NE(ExploreFence(Mutation::kRowUnread, false).violation, "");
}

}  // namespace
}  // namespace acaciachute
