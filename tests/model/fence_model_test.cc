// Every interleaving of two lease holders, one sidecar that may be replaced or
// paused, and its upstream. The guard is the real one; the lease's row, the
// network and the upstream are the model's. Clocks do not matter here: a holder
// may be superseded at any moment and send what it likes later.
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

// Safeguards that a mutation takes away at the guard's border.
enum class Mutation {
  kNone,
  kFenceUnchecked,  // Every order seems to carry the number in force.
  kRowUnread,       // The row seems to stand at the number of the order.
};

constexpr int kHolders = 2;
constexpr FenceNumber kMostLeases = 2;
constexpr int kMostOrders = 2;
constexpr int kMostFaults = 1;
constexpr std::size_t kMaxStates = 400'000;
constexpr DurationUs kPause = 10 * kSecond;

class FenceWorld : public FenceOutput {
 public:
  FenceWorld(Mutation mutation, bool upstream_checks)
      : mutation_(mutation), upstream_checks_(upstream_checks) {
    Start();
  }

  std::vector<Step> Steps();

  // "An old order is never carried out": numbers at the upstream never fall,
  // and an order is carried out once.
  std::string Violation() const {
    if (!std::is_sorted(carried_out_.begin(), carried_out_.end())) {
      return "an old order was carried out after a newer one";
    }
    return twice_ ? "an order was carried out twice" : "";
  }

  // The guard's state follows from its inputs.
  std::string Signature() const {
    std::string out = StrCat(row_, " ", faults_, " ", orders_, ";", history_,
                             ";", upstream_number_, twice_ ? "!" : "", ";");
    for (const auto it : held_) {
      out += StrCat("h", it);
    }
    for (const auto it : carried_out_) {
      out += StrCat("c", it);
    }
    std::vector<std::string> moving;
    for (const auto& it : network_) {
      moving.push_back(
          StrCat("o", it.order_id, "/", it.fence, "/", it.sidecar));
    }
    for (const auto& it : reads_) {
      moving.push_back(StrCat("r", it.ticket, "/",
                              it.seen ? std::to_string(*it.seen) : "-"));
    }
    std::sort(moving.begin(), moving.end());
    for (const auto& it : moving) {
      out += it + ";";
    }
    return out + (outcome_ ? StrCat("p", outcome_->id) : "");
  }

  // FenceOutput:
  void ReadLease(std::uint64_t ticket) override {
    // An answer to an earlier ticket is ignored, so it is left out here.
    reads_ = {{ticket, std::nullopt}};
  }
  // Answered as the process starts.
  void ReadUpstreamFence() override {}
  void PassOrder(const ControlOrder& order) override {
    // The number that its holder gave it, whatever the guard was shown.
    const FenceNumber number = std::stoull(order.model_version);
    const bool refused = upstream_checks_ && number < upstream_number_;
    if (!refused) {
      upstream_number_ = std::max(upstream_number_, number);
      carried_out_.push_back(number);
      twice_ = twice_ || !done_.insert(order.order_id).second;
    }
    outcome_ = {order.order_id,
                refused ? OrderOutcome::kRefused : OrderOutcome::kDone};
  }
  void AnswerOrder(const NodeId&, const ControlOrderResult&) override {}

 private:
  struct Read {
    std::uint64_t ticket = 0;
    std::optional<FenceNumber> seen;  // None until it takes effect.
  };
  struct Outcome {
    std::string id;
    OrderOutcome outcome = OrderOutcome::kDone;
  };

  // A new process in the sidecar's place; what was on its way to the old one
  // and is not addressed to it is lost.
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
    std::optional<FenceNumber> number = read.seen;
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
    if (!reads_[n].seen) {
      steps->push_back(
          {name + "takes effect", [this, n] { reads_[n].seen = row_; }});
      return;
    }
    steps->push_back({name + "answered", [this, n] { AnswerRead(n, false); }});
    if (faults_ < kMostFaults) {
      steps->push_back({name + "lost", [this, n] {
                          ++faults_;
                          AnswerRead(n, true);
                        }});
    }
  }

  void AddOutcomeSteps(std::vector<Step>* steps) {
    const auto tell = [this](OrderOutcome outcome) {
      const Outcome it = *outcome_;
      outcome_.reset();
      history_ += StrCat("p", it.id, "/", static_cast<int>(outcome), ",");
      guard_->OnOutcome(++now_, it.id, outcome, upstream_number_);
    };
    steps->push_back({"upstream answers an order",
                      [this, tell] { tell(outcome_->outcome); }});
    if (faults_ < kMostFaults) {
      steps->push_back({"upstream's answer is lost", [this, tell] {
                          ++faults_;
                          tell(OrderOutcome::kUnknown);
                        }});
    }
  }

  void AddFaultSteps(std::vector<Step>* steps) {
    if (faults_ == kMostFaults) {
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
          {network_[n].order_id + " arrives and comes again", [this, n] {
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
  std::array<FenceNumber, kHolders> held_{};  // What each believes to hold.
  std::vector<ControlOrder> network_;
  std::vector<Read> reads_;
  std::optional<Outcome> outcome_;
  FenceNumber last_number_ = 0;
  int orders_ = 0;
  int faults_ = 0;
  // At the upstream.
  FenceNumber upstream_number_ = 0;
  std::vector<FenceNumber> carried_out_;
  std::set<std::string> done_;
  bool twice_ = false;
};

std::vector<Step> FenceWorld::Steps() {
  std::vector<Step> steps;
  for (int n = 0; n < kHolders; ++n) {
    // Holders are alike, so the first lease goes to holder 0.
    if (row_ < kMostLeases && (row_ > 0 || n == 0)) {
      steps.push_back({StrCat("holder ", n, " takes the lease"),
                       [this, n] { held_[n] = ++row_; }});
    }
    if (held_[n] > 0 && orders_ < kMostOrders) {
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
            << (out.whole ? "" : ", not whole") << "\n"
            << TraceText(out) << (out.violation.empty() ? "" : "\n");
  return out;
}

// A holder is superseded and wakes in the middle of an order, the sidecar is
// replaced or paused, reads and outcomes are lost, orders come twice. Upstreams
// that check numbers and those that ignore them carry out no old order.
TEST(FenceModelTest, NoOldOrderInAnyInterleaving) {
  for (const bool upstream_checks : {false, true}) {
    const auto out = ExploreFence(Mutation::kNone, upstream_checks);
    EXPECT_EQ(out.violation, "") << TraceText(out);
    EXPECT_TRUE(out.whole);
  }
}

// Without the number, the order of a holder that wakes is passed on.
TEST(FenceModelTest, FindsTheUncheckedFence) {
  EXPECT_NE(ExploreFence(Mutation::kFenceUnchecked, false).violation, "");
}

// Without the row, a sidecar that has not yet heard of the new holder, or was
// just replaced, believes the old one.
TEST(FenceModelTest, FindsTheUnreadRow) {
  EXPECT_NE(ExploreFence(Mutation::kRowUnread, false).violation, "");
}

}  // namespace
}  // namespace acaciachute
