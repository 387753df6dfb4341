// Tests that an order of a superseded holder is never executed, and no order
// twice.
#include "coordination/control/fence.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <vector>

namespace acaciachute {
namespace {

constexpr Incarnation kSidecar = 7;

// A sidecar's fence guard between the lease's row and an upstream that either
// checks and remembers fencing numbers, or ignores them.
struct Rig : FenceOutput {
  explicit Rig(bool upstream_keeps_numbers)
      : keeps_numbers(upstream_keeps_numbers) {
    Replace(kSidecar);
  }

  // FenceOutput:
  void ReadLease(std::uint64_t ticket) override { tickets.push_back(ticket); }
  void ReadUpstreamFence() override {}
  void ForwardOrder(const ControlOrder& order) override {
    forwarded.push_back(order);
  }
  void AnswerOrder(const NodeId& holder,
                   const ControlOrderResult& result) override {
    results.push_back(result);
  }

  // Replaces the sidecar's process by another one.
  void Replace(Incarnation next) {
    incarnation = next;
    tickets.clear();
    guard = std::make_unique<FenceGuard>(next, this, &metrics);
    guard->Start(now);
    AnswerReads();
    guard->OnUpstreamFence(keeps_numbers, keeps_numbers ? upstream_number : 0);
  }
  void AnswerReads() {
    while (!tickets.empty()) {
      const auto ticket = tickets.front();
      tickets.erase(tickets.begin());
      guard->OnLease(now, ticket, row);
    }
  }
  ControlOrder Make(const std::string& id, FenceNumber fence) const {
    ControlOrder order;
    order.order_id = id;
    order.sidecar = incarnation;
    order.fence = fence;
    order.model = "notices";
    return order;
  }
  // Sends an order and lets the upstream execute it if it is forwarded.
  Refusal Send(const ControlOrder& order) {
    const std::size_t before = forwarded.size();
    guard->OnOrder(now, "entry-0", order);
    AnswerReads();
    if (forwarded.size() > before) {
      Execute();
    }
    return results.back().reason;
  }
  void Execute() {
    const ControlOrder order = forwarded.back();
    if (keeps_numbers && order.fence < upstream_number) {
      guard->OnOutcome(now, order.order_id, OrderOutcome::kRefused,
                       upstream_number);
      return;
    }
    upstream_number = std::max(upstream_number, order.fence);
    if (!keeps_numbers || ids.insert(order.order_id).second) {
      executed.push_back(order);
    }
    guard->OnOutcome(now, order.order_id, OrderOutcome::kDone, 0);
  }

  const bool keeps_numbers;
  Incarnation incarnation = 0;
  TimeUs now = 100 * kSecond;
  std::optional<FenceNumber> row = 1;
  FenceNumber upstream_number = 0;
  // Order ids remembered by an upstream that keeps numbers.
  std::set<std::string> ids;
  Metrics metrics;
  std::vector<std::uint64_t> tickets;
  std::vector<ControlOrder> forwarded;
  std::vector<ControlOrder> executed;
  std::vector<ControlOrderResult> results;
  std::unique_ptr<FenceGuard> guard;
};

class FenceTest : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(UpstreamKeepsNumbers, FenceTest, testing::Bool());

// The holder is suspended beyond its lease; another entry takes over but has
// not yet sent an order here. The first resumes and sends its order. The
// sidecar never received the second one's number, but the row has it, and the
// old order is refused with the number in force.
TEST_P(FenceTest, ResumedHolderIsRefusedBeforeItsSuccessorsFirstOrder) {
  Rig rig(GetParam());
  rig.row = 2;
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kNone);
  rig.row = 3;
  EXPECT_EQ(rig.Send(rig.Make("b", 2)), Refusal::kFenced);
  EXPECT_EQ(rig.results.back().fence, 3);
  EXPECT_EQ(rig.executed.size(), 1);
}

// As above, with the sidecar replaced in between: the new process has received
// no number before the old order arrives.
TEST_P(FenceTest, ReplacedSidecarReadsTheNumber) {
  Rig rig(GetParam());
  rig.row = 3;
  EXPECT_EQ(rig.Send(rig.Make("a", 3)), Refusal::kNone);
  rig.Replace(kSidecar + 1);
  EXPECT_EQ(rig.Send(rig.Make("b", 2)), Refusal::kFenced);
  rig.row = 4;
  EXPECT_EQ(rig.Send(rig.Make("c", 4)), Refusal::kNone);
  EXPECT_EQ(rig.executed.size(), 2);
}

// The holder receives no answer and repeats its order. It is executed once and
// the outcome is returned again.
TEST_P(FenceTest, RepeatedOrderIsCarriedOutOnce) {
  Rig rig(GetParam());
  rig.row = 2;
  const ControlOrder order = rig.Make("a", 2);
  EXPECT_EQ(rig.Send(order), Refusal::kNone);
  EXPECT_EQ(rig.Send(order), Refusal::kNone);
  EXPECT_EQ(rig.results.size(), 2);
  EXPECT_EQ(rig.executed.size(), 1);
}

// The sidecar is replaced between an order and its repetition. An upstream that
// remembers ids answers again; for one that does not, the new sidecar requires
// a newer number, as it does not know what was executed.
TEST_P(FenceTest, RepeatedOrderAcrossSidecarsIsCarriedOutOnce) {
  Rig rig(GetParam());
  rig.row = 2;
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kNone);
  rig.Replace(kSidecar + 1);
  EXPECT_EQ(rig.Send(rig.Make("a", 2)),
            GetParam() ? Refusal::kNone : Refusal::kNotCurrent);
  EXPECT_EQ(rig.executed.size(), 1);
}

// A copy of an order for the previous sidecar process is delayed in the
// network, and the holder has sent a newer order since. If the copy were
// executed, it would revert the newer one.
TEST_P(FenceTest, LateCopyForPredecessorIsRefused) {
  Rig rig(GetParam());
  rig.row = 2;
  const ControlOrder late = rig.Make("a", 2);
  rig.Replace(kSidecar + 1);
  EXPECT_EQ(rig.Send(late), Refusal::kNotCurrent);
  EXPECT_TRUE(rig.executed.empty());
}

// The sidecar itself is suspended while it waits for the row; the answer in its
// buffer is outdated when it resumes, and the lease has another holder. It
// reads the row again.
TEST_P(FenceTest, PausedSidecarReadsTheRowAgain) {
  Rig rig(GetParam());
  rig.row = 2;
  rig.guard->OnOrder(rig.now, "entry-0", rig.Make("a", 2));
  const auto ticket = rig.tickets.front();
  rig.tickets.clear();
  rig.now += 60 * kSecond;
  rig.guard->OnLease(rig.now, ticket, 2);
  EXPECT_TRUE(rig.forwarded.empty());
  rig.row = 3;
  rig.AnswerReads();
  EXPECT_TRUE(rig.forwarded.empty());
  ASSERT_EQ(rig.results.size(), 1);
  EXPECT_EQ(rig.results[0].reason, Refusal::kFenced);
}

// The table is down: no lease can be confirmed, so no order is forwarded.
TEST_P(FenceTest, NoOrderWithoutTheRow) {
  Rig rig(GetParam());
  rig.row = std::nullopt;
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kStoreDown);
  rig.row = 2;
  EXPECT_EQ(rig.Send(rig.Make("a", 1)), Refusal::kFenced);
  EXPECT_TRUE(rig.executed.empty());
}

// An order with a number larger than the row's has no valid holder.
TEST_P(FenceTest, NumberAheadOfTheRowIsRefused) {
  Rig rig(GetParam());
  rig.row = 2;
  EXPECT_EQ(rig.Send(rig.Make("a", 9)), Refusal::kNotCurrent);
  EXPECT_EQ(rig.Send(rig.Make("b", 2)), Refusal::kNone);
}

// The upstream was replaced and has a larger number than the row that was read:
// its refusal is forwarded with that number.
TEST(FenceUpstreamTest, UpstreamsOwnNumberCounts) {
  Rig rig(/*upstream_keeps_numbers=*/true);
  rig.row = 2;
  rig.upstream_number = 5;
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kFenced);
  EXPECT_EQ(rig.results.back().fence, 5);
  EXPECT_TRUE(rig.executed.empty());
}

// The connection to the upstream is lost with an order in progress. The order
// may have been executed, so a repetition is not forwarded again.
TEST(FenceUpstreamTest, OrderOfUnknownOutcomeIsNotPassedAgain) {
  Rig rig(/*upstream_keeps_numbers=*/false);
  rig.row = 2;
  rig.guard->OnOrder(rig.now, "entry-0", rig.Make("a", 2));
  rig.AnswerReads();
  ASSERT_EQ(rig.forwarded.size(), 1);
  rig.guard->OnOutcome(rig.now, "a", OrderOutcome::kUnknown, 0);
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kUpstreamFailed);
  EXPECT_EQ(rig.forwarded.size(), 1);
}

// Many orders under one number must not grow the stored outcomes without limit.
TEST(FenceUpstreamTest, OutcomesAreBounded) {
  Rig rig(/*upstream_keeps_numbers=*/false);
  rig.row = 2;
  for (std::size_t n = 0; n < FenceGuard::kMaxOutcomes; ++n) {
    rig.Send(rig.Make(std::to_string(n), 2));
  }
  EXPECT_EQ(rig.Send(rig.Make("more", 2)), Refusal::kFull);
  rig.row = 3;
  EXPECT_EQ(rig.Send(rig.Make("more", 3)), Refusal::kNone);
}

}  // namespace
}  // namespace acaciachute
