// Tests which replicas accept work during outages of the store that lists them,
// and after replicas restart.
#include "state/replica_directory.h"

#include <gtest/gtest.h>

namespace acaciachute {
namespace {

struct DirectoryRig : DirectoryWatcher {
  void OnReplica(const ReplicaEntry& replica, DirectoryChange change) override {
    changes.push_back(replica.id.name + " " + std::string(Name(change)));
  }
  static ReplicaEntry Entry(const ReplicaId& id, bool leaving = false) {
    ReplicaEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.address = {"10.0.0.1", 80};
    entry.leaving = leaving;
    return entry;
  }
  ReplicaDirectory directory{this};
  std::vector<std::string> changes;
};

TEST(ReplicaDirectoryTest, LosesAnEntryThatIsRemoved) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry("r"));
  EXPECT_EQ(rig.directory.Of("s").size(), 1U);
  rig.directory.Remove(0, "r");
  EXPECT_TRUE(rig.directory.Of("s").empty());
  EXPECT_EQ(rig.changes.back(), "r gone");
}

// Guards against refusing requests because rows of running replicas expired
// during an outage of the store. An entry whose row is still missing two
// seconds after the store's return is removed.
TEST(ReplicaDirectoryTest, KeepsEntriesThatLapsedInAnOutageForAWhile) {
  DirectoryRig rig;
  TimeUs now = 100 * kSecond;
  rig.directory.Put(DirectoryRig::Entry("alive"));
  rig.directory.Put(DirectoryRig::Entry("dead"));
  rig.directory.OnStoreLost(now);
  now += 10 * kSecond;
  rig.directory.OnStoreLost(now);
  rig.directory.OnStoreRecovered(now);
  rig.directory.Replace(now, {}, {});
  EXPECT_EQ(rig.directory.Of("s").size(), 2U);
  rig.directory.Put(DirectoryRig::Entry("alive"));
  now += ReplicaDirectory::kRelistTime;
  rig.directory.OnTick(now);
  ASSERT_EQ(rig.directory.Of("s").size(), 1U);
  EXPECT_EQ(rig.directory.Of("s")[0]->id, "alive");
}

// Guards against a host that was cut off and continues to send work to replicas
// that left, after it has reached the store for longer than the time within
// which it must know of that.
TEST(ReplicaDirectoryTest, KeepsVanishedEntriesNoLongerThanTheOutageMayMatter) {
  DirectoryRig rig;
  TimeUs now = 100 * kSecond;
  rig.directory.SetMaxRetention(3 * kSecond);
  rig.directory.Put(DirectoryRig::Entry("r"));
  rig.directory.OnStoreLost(now);
  now += 2500 * kMillisecond;
  rig.directory.OnStoreRecovered(now);
  rig.directory.Remove(now, "r");
  EXPECT_EQ(rig.directory.Of("s").size(), 1U);
  now += 500 * kMillisecond;
  rig.directory.OnTick(now);
  EXPECT_TRUE(rig.directory.Of("s").empty());
}

// Guards against taking the row of an ended replica for the later one because
// both were read from the store's list at once, in any order.
TEST(ReplicaDirectoryTest, TheLaterStartSupersedesTheEarlierOne) {
  DirectoryRig rig;
  rig.directory.Replace(
      0, {DirectoryRig::Entry({"b", 2000}), DirectoryRig::Entry({"a", 1000})},
      {});
  EXPECT_TRUE(rig.directory.Find({"a", 1000})->superseded);
  EXPECT_FALSE(rig.directory.Find({"b", 2000})->superseded);
  EXPECT_EQ(rig.changes.back(), "a superseded");
  rig.directory.Put(DirectoryRig::Entry({"a", 1000}));
  EXPECT_TRUE(rig.directory.Find({"a", 1000})->superseded);
}

// A replica that announced that it leaves gets no new work, also during an
// outage, and an older row that is read late does not revert that.
TEST(ReplicaDirectoryTest, BelievesThatAReplicaLeavesForGood) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry("r"));
  rig.directory.OnStoreLost(100 * kSecond);
  rig.directory.Put(DirectoryRig::Entry("r", true));
  rig.directory.Put(DirectoryRig::Entry("r", false));
  EXPECT_TRUE(rig.directory.Of("s").empty());
  EXPECT_FALSE(rig.directory.TakesWork("r"));
}

TEST(ReplicaDirectoryTest, FindsTheProducerOfAResult) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry("r"));
  ASSERT_NE(rig.directory.ProducerOf("10.0.0.1:80/x"), nullptr);
  EXPECT_EQ(rig.directory.ProducerOf("10.0.0.1:80/x")->id, "r");
  EXPECT_EQ(rig.directory.ProducerOf("10.0.0.2:80/x"), nullptr);
}

// A replica leaves and is started again under the same name. The new
// incarnation accepts work, and the previous one is no longer listed.
TEST(ReplicaDirectoryTest, GivesWorkToAReplicaThatLeftAndStartedAgain) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry({"r", 5}, true));
  EXPECT_TRUE(rig.directory.Of("s").empty());
  rig.directory.Put(DirectoryRig::Entry({"r", 6}));
  ASSERT_EQ(rig.directory.Of("s").size(), 1U);
  EXPECT_EQ(rig.directory.Of("s")[0]->id, ReplicaId("r", 6));
  EXPECT_EQ(rig.changes, (std::vector<std::string>{"r added", "r leaving",
                                                   "r restarted", "r added"}));
  EXPECT_EQ(rig.directory.Find({"r", 5}), nullptr);
}

// A row of an ended incarnation that is read late has no effect, neither before
// nor after the replica's entry was removed.
TEST(ReplicaDirectoryTest, PassesOverRowsOfAnEarlierIncarnation) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry({"r", 6}));
  rig.directory.Put(DirectoryRig::Entry({"r", 5}, true));
  EXPECT_TRUE(rig.directory.TakesWork({"r", 6}));
  rig.directory.Remove(0, "r");
  rig.directory.Put(DirectoryRig::Entry({"r", 5}));
  EXPECT_TRUE(rig.directory.Of("s").empty());
  // The same incarnation is listed again after an outage of the store.
  rig.directory.Put(DirectoryRig::Entry({"r", 6}));
  EXPECT_TRUE(rig.directory.TakesWork({"r", 6}));
}

// A replica leaves, its entry is removed, and an earlier row of the same
// incarnation is read again: that incarnation still gets no new work.
TEST(ReplicaDirectoryTest, KeepsAnIncarnationLeavingAfterItsEntryIsRemoved) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry({"r", 5}, true));
  rig.directory.Remove(0, "r");
  rig.directory.Put(DirectoryRig::Entry({"r", 5}));
  EXPECT_TRUE(rig.directory.Of("s").empty());
  rig.directory.Put(DirectoryRig::Entry({"r", 7}));
  EXPECT_EQ(rig.directory.Of("s").size(), 1U);
}

// Another writer overwrites a replica's row with one that cannot be parsed. The
// replica gets no new work but stays listed, and it gets work again after its
// own next row.
TEST(ReplicaDirectoryTest, SendsNoNewRequestsToAnEntryWithAnUnreadableRow) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry({"r", 5}));
  rig.directory.PutUnreadable("r");
  EXPECT_TRUE(rig.directory.Of("s").empty());
  EXPECT_NE(rig.directory.Find({"r", 5}), nullptr);
  rig.directory.Replace(0, {}, {"r"});
  EXPECT_NE(rig.directory.Find({"r", 5}), nullptr);
  rig.directory.Put(DirectoryRig::Entry({"r", 5}));
  EXPECT_TRUE(rig.directory.TakesWork({"r", 5}));
  EXPECT_EQ(rig.changes, (std::vector<std::string>{"r added", "r unreadable",
                                                   "r readable"}));
}

// In a service whose replicas state their incarnation, an entry without one
// must be from another writer and is not used, whichever row is read first.
TEST(ReplicaDirectoryTest, IgnoresEntriesWithoutAnIncarnationIfOthersStateOne) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry("foreign"));
  EXPECT_EQ(rig.directory.Of("s").size(), 1U);
  rig.directory.Put(DirectoryRig::Entry({"r", 5}));
  ASSERT_EQ(rig.directory.Of("s").size(), 1U);
  EXPECT_EQ(rig.directory.Of("s")[0]->id.name, "r");
  rig.directory.Put(DirectoryRig::Entry("r"));
  EXPECT_TRUE(rig.directory.Of("s").empty());
  rig.directory.Put(DirectoryRig::Entry({"r", 5}));
  EXPECT_TRUE(rig.directory.TakesWork({"r", 5}));
}

TEST(ReplicaDirectoryTest,
     ReportsAnOrderCountThatDecreasesWithinOneIncarnation) {
  DirectoryRig rig;
  ReplicaEntry entry = DirectoryRig::Entry({"r", 5});
  entry.orders = 9;
  rig.directory.Put(entry);
  entry.orders = 3;
  rig.directory.Put(entry);
  EXPECT_EQ(rig.changes.back(), "r count_fell");
  entry.id.incarnation = 6;
  entry.orders = 0;
  rig.directory.Put(entry);
  EXPECT_EQ(rig.changes.back(), "r added");
}

// The replica that produced a result is found by its address. An entry of
// another writer with the same address does not replace it.
TEST(ReplicaDirectoryTest, FindsTheProducerAmongEntriesOfOneAddress) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry("real"));
  ReplicaEntry foreign = DirectoryRig::Entry("a-foreign");
  foreign.service = "other";
  rig.directory.Put(foreign);
  EXPECT_EQ(rig.directory.ProducerOf("10.0.0.1:80/x")->id.name, "real");
  rig.directory.Put(DirectoryRig::Entry("real", true));
  EXPECT_EQ(rig.directory.ProducerOf("10.0.0.1:80/x")->id.name, "a-foreign");
}

// Guards against a replica without a start in its row that said in an answer
// that it leaves, and gets work again when its last row comes back after an
// outage. Its entry is not kept as in an outage.
TEST(ReplicaDirectoryTest, RemembersThatAnUnlistedReplicaLeaves) {
  DirectoryRig rig;
  TimeUs now = 100 * kSecond;
  rig.directory.Put(DirectoryRig::Entry("r"));
  rig.directory.OnStoreLost(now);
  EXPECT_EQ(rig.directory.OnLeavingStated(now, "r"), LeavingOutcome::kLearned);
  EXPECT_EQ(rig.directory.OnLeavingStated(now, "r"), LeavingOutcome::kKnown);
  EXPECT_EQ(rig.changes.back(), "r leaving");
  rig.directory.Remove(now, "r");
  EXPECT_EQ(rig.changes.back(), "r gone");
  EXPECT_EQ(rig.directory.OnLeavingStated(now, "r"), LeavingOutcome::kKnown);
  rig.directory.Put(DirectoryRig::Entry("r"));
  EXPECT_FALSE(rig.directory.TakesWork("r"));
  rig.directory.Remove(now, "r");
  now += ReplicaDirectory::kEndedRetention + 2 * kSecond;
  rig.directory.OnTick(now);
  rig.directory.Put(DirectoryRig::Entry("r"));
  EXPECT_TRUE(rig.directory.TakesWork("r"));
}

// Guards against statements of an ended incarnation that speak for the present
// one, or that are taken for news again and again.
TEST(ReplicaDirectoryTest, TakesNoStatementOfAnEndedIncarnation) {
  DirectoryRig rig;
  const TimeUs now = 100 * kSecond;
  rig.directory.Put(DirectoryRig::Entry({"r", 5}));
  rig.directory.Put(DirectoryRig::Entry({"r", 6}));
  EXPECT_EQ(rig.directory.OnLeavingStated(now, {"r", 5}),
            LeavingOutcome::kKnown);
  EXPECT_TRUE(rig.directory.TakesWork({"r", 6}));
  rig.directory.Remove(now, "r");
  EXPECT_EQ(rig.directory.OnLeavingStated(now, {"r", 5}),
            LeavingOutcome::kKnown);
  EXPECT_EQ(rig.directory.OnLeavingStated(now, {"r", 7}),
            LeavingOutcome::kNotListed);
  rig.directory.Put(DirectoryRig::Entry({"r", 7}));
  EXPECT_FALSE(rig.directory.TakesWork({"r", 7}));
  rig.directory.Put(DirectoryRig::Entry({"r", 8}));
  EXPECT_TRUE(rig.directory.TakesWork({"r", 8}));
}

}  // namespace
}  // namespace acaciachute
