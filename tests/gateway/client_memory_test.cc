// Who gives way when clients make a process hold too much.
#include "coordination/admission/client_memory.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace acaciachute {
namespace {

constexpr std::size_t kLimit = 1000;

struct Holder : MemoryHolder {
  Holder(ClientMemory* memory_in, std::size_t bytes, TimeUs now)
      : memory(memory_in) {
    memory->Add(this, now);
    memory->SetHeld(this, bytes);
  }
  ~Holder() override { memory->Remove(this); }
  GaveWay GiveWay() override {
    gave_way = true;
    if (!can_give_way) {
      return GaveWay::kNothing;
    }
    memory->SetHeld(this, 0);
    return GaveWay::kRefused;
  }

  ClientMemory* const memory;
  bool can_give_way = true;
  bool gave_way = false;
};

// Guards against a crowd that is stuck and shuts out those who come later.
TEST(ClientMemoryTest, WhoStallsGivesWayToWhoComesLater) {
  ClientMemory memory(kLimit);
  Holder stuck(&memory, 600, 0);
  Holder newcomer(&memory, 600, 3 * kSecond);
  memory.Relieve(3 * kSecond);
  EXPECT_TRUE(stuck.gave_way);
  EXPECT_FALSE(newcomer.gave_way);
  EXPECT_EQ(memory.held(), 600U);
}

// Guards against small requests that pay for large ones of the same age.
TEST(ClientMemoryTest, WhoHoldsMostGivesWayFirst) {
  ClientMemory memory(kLimit);
  Holder small(&memory, 100, 0);
  Holder large(&memory, 950, 0);
  memory.Relieve(kSecond);
  EXPECT_TRUE(large.gave_way);
  EXPECT_FALSE(small.gave_way);
}

// Guards against a large body that goes on and is refused for one that does
// not.
TEST(ClientMemoryTest, ProgressKeepsItsHolder) {
  ClientMemory memory(kLimit);
  Holder goes_on(&memory, 800, 0);
  Holder trickles(&memory, 300, 0);
  ClientMemory::OnProgress(&goes_on, 4 * kSecond);
  memory.Relieve(4 * kSecond);
  EXPECT_TRUE(trickles.gave_way);
  EXPECT_FALSE(goes_on.gave_way);
}

// Guards against a sum that stays above the limit because one cannot give way.
TEST(ClientMemoryTest, ThoseWhoCannotGiveWayArePassedOver) {
  ClientMemory memory(kLimit);
  Holder fixed(&memory, 900, 0);
  fixed.can_give_way = false;
  Holder other(&memory, 200, 0);
  memory.Relieve(kSecond);
  EXPECT_TRUE(other.gave_way);
  EXPECT_EQ(memory.held(), 900U);
}

// Guards against the use of holders that ended when another one gave way.
TEST(ClientMemoryTest, HoldersMayEndMeanwhile) {
  ClientMemory memory(kLimit);
  std::vector<std::unique_ptr<Holder>> holders;
  struct Ender : Holder {
    using Holder::Holder;
    GaveWay GiveWay() override {
      others->clear();
      return Holder::GiveWay();
    }
    std::vector<std::unique_ptr<Holder>>* others = nullptr;
  };
  Ender first(&memory, 900, 0);
  first.others = &holders;
  holders.push_back(std::make_unique<Holder>(&memory, 800, 0));
  memory.Relieve(kSecond);
  EXPECT_EQ(memory.held(), 0U);
}

// Guards against a limit that is passed without anybody acting on it.
TEST(ClientMemoryTest, AsksOnceForRelief) {
  ClientMemory memory(kLimit);
  int asked = 0;
  memory.SetShortHandler([&] { ++asked; });
  Holder holder(&memory, 1000, 0);
  EXPECT_EQ(asked, 0);
  memory.SetHeld(&holder, 1001);
  memory.SetHeld(&holder, 1002);
  EXPECT_EQ(asked, 1);
  memory.Relieve(kSecond);
  memory.SetHeld(&holder, 1001);
  EXPECT_EQ(asked, 2);
}

}  // namespace
}  // namespace acaciachute
