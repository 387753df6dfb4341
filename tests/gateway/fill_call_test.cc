// Tests which waiting pieces a call takes when many wait.
#include "coordination/stages/fill_call.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>

namespace acaciachute {
namespace {

WaitingGroup Group(std::size_t pieces, TimeUs request_arrived_at = 0) {
  WaitingGroup it;
  it.pieces = pieces;
  it.result_bytes = pieces;
  it.memory_limit = 1000;
  it.request_arrived_at = request_arrived_at;
  return it;
}

std::size_t PiecesOf(const std::vector<WaitingGroup>& groups,
                     const std::vector<std::size_t>& taken) {
  return std::accumulate(
      taken.begin(), taken.end(), std::size_t{0},
      [&](std::size_t sum, std::size_t n) { return sum + groups[n].pieces; });
}

// A burst leaves requests of 8 to 40 pieces before a stage whose calls hold 66.
// Requests wait for as many calls as all pieces take, so no call may leave a
// quarter of its capacity unused while a smaller request waits.
TEST(FillCallTest, FillsCallsFromALongQueue) {
  std::mt19937 random(1);
  std::uniform_int_distribution<std::size_t> size(8, 40);
  constexpr int kRequests = 600;
  std::vector<WaitingGroup> groups;
  groups.reserve(kRequests);
  for (int n = 0; n < kRequests; ++n) {
    groups.push_back(Group(size(random), n));
  }
  std::size_t calls = 0;
  std::size_t pieces = 0;
  while (groups.size() > 60) {
    const auto taken = FillCall(groups, {66, 66, 0});
    EXPECT_EQ(taken.front(), 0U);  // The oldest request is always taken.
    pieces += PiecesOf(groups, taken);
    ++calls;
    std::vector<WaitingGroup> left;
    for (std::size_t n = 0; n < groups.size(); ++n) {
      if (std::find(taken.begin(), taken.end(), n) == taken.end()) {
        left.push_back(groups[n]);
      }
    }
    groups = std::move(left);
  }
  EXPECT_GT(static_cast<double>(pieces) / static_cast<double>(calls), 63);
}

// Inputs are in four failure domains. A replica takes the requests of its own
// domain first, although many others arrived a little earlier.
TEST(FillCallTest, TakesWhatIsNearFirst) {
  std::vector<WaitingGroup> groups;
  groups.reserve(8);
  for (TimeUs n = 0; n < 8; ++n) {
    groups.push_back(Group(10, n * 10 * kMillisecond));
    groups.back().inputs_near = n >= 6;
  }
  EXPECT_EQ(FillCall(groups, {20, 20, 0}), (std::vector<std::size_t>{6, 7}));
}

// A request that has waited longer by the duration of a call goes before one
// with near inputs, so the requests of a domain with slow replicas do not
// starve.
TEST(FillCallTest, TakesWhatWaitedMuchLongerBeforeWhatIsNear) {
  std::vector<WaitingGroup> groups = {Group(10), Group(10, kNearAgeBonus + 1)};
  groups[0].inputs_near = false;
  EXPECT_EQ(FillCall(groups, {10, 10, 0}), (std::vector<std::size_t>{0}));
}

// A request of higher priority goes before one of lower priority with near
// inputs.
TEST(FillCallTest, TakesUrgentBeforeNear) {
  std::vector<WaitingGroup> groups = {Group(10), Group(10)};
  groups[0].priority = 2;
  groups[1].inputs_near = false;
  EXPECT_EQ(FillCall(groups, {10, 10, 0}), (std::vector<std::size_t>{1}));
}

TEST(FillCallTest, SkipsGroupsWithoutMemory) {
  std::vector<WaitingGroup> groups = {Group(10), Group(20, 1), Group(5, 2)};
  groups[1].memory_limit = 15;
  EXPECT_EQ(FillCall(groups, {40, 40, 0}), (std::vector<std::size_t>{0, 2}));
}

// If several replicas are free, each takes its share and the remaining pieces
// go to the next.
TEST(FillCallTest, StopsAtItsShare) {
  const std::vector<WaitingGroup> groups = {Group(4), Group(4, 1), Group(4, 2)};
  EXPECT_EQ(FillCall(groups, {5, 40, 0}).size(), 2U);
}

}  // namespace
}  // namespace acaciachute
