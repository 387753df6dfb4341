// An old holder's order is never carried out, nor is any order twice.
#include "coordination/control/fence.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <vector>

namespace acaciachute {
namespace {

constexpr Incarnation kSidecar = 7;

// A sidecar's guard between a lease's row and an upstream that may check and
// keep numbers, or ignore them.
struct Rig : FenceOutput {
  explicit Rig(bool upstream_keeps) : keeps(upstream_keeps) {
    Replace(kSidecar);
  }

  // FenceOutput:
  void ReadLease(std::uint64_t ticket) override { tickets.push_back(ticket); }
  void ReadUpstreamFence() override {}
  void PassOrder(const ControlOrder& order) override {
    passed.push_back(order);
  }
  void AnswerOrder(const NodeId& holder,
                   const ControlOrderResult& result) override {
    results.push_back(result);
  }

  // Another process takes the sidecar's place.
  void Replace(Incarnation next) {
    incarnation = next;
    tickets.clear();
    guard = std::make_unique<FenceGuard>(next, this, &metrics);
    guard->Start(now);
    AnswerReads();
    guard->OnUpstreamFence(keeps, keeps ? upstream_number : 0);
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
  // Sends an order and lets the upstream carry out what is passed to it.
  Refusal Send(const ControlOrder& order) {
    const std::size_t before = passed.size();
    guard->OnOrder(now, "entry-0", order);
    AnswerReads();
    if (passed.size() > before) {
      CarryOut();
    }
    return results.back().reason;
  }
  void CarryOut() {
    const ControlOrder order = passed.back();
    if (keeps && order.fence < upstream_number) {
      guard->OnOutcome(now, order.order_id, OrderOutcome::kRefused,
                       upstream_number);
      return;
    }
    upstream_number = std::max(upstream_number, order.fence);
    if (!keeps || ids.insert(order.order_id).second) {
      done.push_back(order);
    }
    guard->OnOutcome(now, order.order_id, OrderOutcome::kDone, 0);
  }

  const bool keeps;
  Incarnation incarnation = 0;
  TimeUs now = 100 * kSecond;
  std::optional<FenceNumber> row = 1;
  FenceNumber upstream_number = 0;
  std::set<std::string> ids;  // Remembered by an upstream that keeps numbers.
  Metrics metrics;
  std::vector<std::uint64_t> tickets;
  std::vector<ControlOrder> passed;
  std::vector<ControlOrder> done;
  std::vector<ControlOrderResult> results;
  std::unique_ptr<FenceGuard> guard;
};

class FenceTest : public testing::TestWithParam<bool> {};
INSTANTIATE_TEST_SUITE_P(UpstreamKeepsNumbers, FenceTest, testing::Bool());

// The holder is paused past its lease; another takes over but has not yet sent
// anything here. The first wakes and sends its order. The sidecar has never
// heard of the second, yet the row has, and the old order is refused with the
// number in force.
TEST_P(FenceTest, WokenHolderIsRefusedBeforeItsSuccessorSpoke) {
  Rig rig(GetParam());
  rig.row = 2;
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kNone);
  rig.row = 3;
  EXPECT_EQ(rig.Send(rig.Make("b", 2)), Refusal::kFenced);
  EXPECT_EQ(rig.results.back().fence, 3);
  EXPECT_EQ(rig.done.size(), 1);
}

// As above, with the sidecar replaced in between: the successor has heard no
// number at all before the old order comes.
TEST_P(FenceTest, ReplacedSidecarKnowsTheNumber) {
  Rig rig(GetParam());
  rig.row = 3;
  EXPECT_EQ(rig.Send(rig.Make("a", 3)), Refusal::kNone);
  rig.Replace(kSidecar + 1);
  EXPECT_EQ(rig.Send(rig.Make("b", 2)), Refusal::kFenced);
  rig.row = 4;
  EXPECT_EQ(rig.Send(rig.Make("c", 4)), Refusal::kNone);
  EXPECT_EQ(rig.done.size(), 2);
}

// The holder has no answer and repeats its order. It is carried out once and
// the outcome is told again.
TEST_P(FenceTest, RepeatedOrderIsCarriedOutOnce) {
  Rig rig(GetParam());
  rig.row = 2;
  const ControlOrder order = rig.Make("a", 2);
  EXPECT_EQ(rig.Send(order), Refusal::kNone);
  EXPECT_EQ(rig.Send(order), Refusal::kNone);
  EXPECT_EQ(rig.results.size(), 2);
  EXPECT_EQ(rig.done.size(), 1);
}

// The sidecar is replaced between an order and its repetition. An upstream that
// remembers ids answers it again; for one that does not, the successor wants a
// newer number, as it cannot know what was carried out.
TEST_P(FenceTest, RepeatedOrderAcrossSidecarsIsCarriedOutOnce) {
  Rig rig(GetParam());
  rig.row = 2;
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kNone);
  rig.Replace(kSidecar + 1);
  EXPECT_EQ(rig.Send(rig.Make("a", 2)),
            GetParam() ? Refusal::kNone : Refusal::kNotCurrent);
  EXPECT_EQ(rig.done.size(), 1);
}

// A copy of an order for the predecessor is late in the network. The holder has
// sent a newer one since; carried out, the copy would turn it back.
TEST_P(FenceTest, LateCopyForPredecessorIsRefused) {
  Rig rig(GetParam());
  rig.row = 2;
  const ControlOrder late = rig.Make("a", 2);
  rig.Replace(kSidecar + 1);
  EXPECT_EQ(rig.Send(late), Refusal::kNotCurrent);
  EXPECT_TRUE(rig.done.empty());
}

// The sidecar itself is paused while it waits for the row; the answer in its
// buffer is old when it wakes, and the lease has changed hands. It reads again.
TEST_P(FenceTest, PausedSidecarReadsTheRowAgain) {
  Rig rig(GetParam());
  rig.row = 2;
  rig.guard->OnOrder(rig.now, "entry-0", rig.Make("a", 2));
  const auto ticket = rig.tickets.front();
  rig.tickets.clear();
  rig.now += 60 * kSecond;
  rig.guard->OnLease(rig.now, ticket, 2);
  EXPECT_TRUE(rig.passed.empty());
  rig.row = 3;
  rig.AnswerReads();
  EXPECT_TRUE(rig.passed.empty());
  ASSERT_EQ(rig.results.size(), 1);
  EXPECT_EQ(rig.results[0].reason, Refusal::kFenced);
}

// The table is down: no lease can be shown to be held, so no order is passed.
TEST_P(FenceTest, NoOrderWithoutTheRow) {
  Rig rig(GetParam());
  rig.row = std::nullopt;
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kStoreDown);
  rig.row = 2;
  EXPECT_EQ(rig.Send(rig.Make("a", 1)), Refusal::kFenced);
  EXPECT_TRUE(rig.done.empty());
}

// A number that the row has not seen is nobody's.
TEST_P(FenceTest, NumberAheadOfTheRowIsRefused) {
  Rig rig(GetParam());
  rig.row = 2;
  EXPECT_EQ(rig.Send(rig.Make("a", 9)), Refusal::kNotCurrent);
  EXPECT_EQ(rig.Send(rig.Make("b", 2)), Refusal::kNone);
}

// The upstream was replaced under the sidecar and knows a larger number than
// the row that was read: its refusal is passed on with that number.
TEST(FenceUpstreamTest, UpstreamsOwnNumberCounts) {
  Rig rig(/*upstream_keeps=*/true);
  rig.row = 2;
  rig.upstream_number = 5;
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kFenced);
  EXPECT_EQ(rig.results.back().fence, 5);
  EXPECT_TRUE(rig.done.empty());
}

// The connection to the upstream breaks with an order in progress. It may have
// been carried out, so a repetition is not passed again.
TEST(FenceUpstreamTest, OrderOfUnknownOutcomeIsNotPassedAgain) {
  Rig rig(/*upstream_keeps=*/false);
  rig.row = 2;
  rig.guard->OnOrder(rig.now, "entry-0", rig.Make("a", 2));
  rig.AnswerReads();
  ASSERT_EQ(rig.passed.size(), 1);
  rig.guard->OnOutcome(rig.now, "a", OrderOutcome::kUnknown, 0);
  EXPECT_EQ(rig.Send(rig.Make("a", 2)), Refusal::kUpstreamFailed);
  EXPECT_EQ(rig.passed.size(), 1);
}

// Memory: a holder that never stops cannot fill the outcomes.
TEST(FenceUpstreamTest, OutcomesAreBounded) {
  Rig rig(/*upstream_keeps=*/false);
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
