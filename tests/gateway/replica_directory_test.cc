// Which replicas take work while the store that lists them fails.
#include "state/replica_directory.h"

#include <gtest/gtest.h>

namespace acaciachute {
namespace {

struct DirectoryRig : DirectoryWatcher {
  void OnReplica(const ReplicaEntry& replica, DirectoryChange change) override {
    changes.push_back(replica.id + " " + std::string(Name(change)));
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

// Callers go on being served when the store's outage lets entries of living
// replicas lapse; one that is still missing two seconds after the return is
// gone.
TEST(ReplicaDirectoryTest, KeepsEntriesThatLapsedInAnOutageForAWhile) {
  DirectoryRig rig;
  TimeUs now = 100 * kSecond;
  rig.directory.Put(DirectoryRig::Entry("alive"));
  rig.directory.Put(DirectoryRig::Entry("dead"));
  rig.directory.OnStoreLost();
  now += 10 * kSecond;
  rig.directory.OnStoreBack(now);
  rig.directory.Replace(now, {});
  EXPECT_EQ(rig.directory.Of("s").size(), 2U);
  rig.directory.Put(DirectoryRig::Entry("alive"));
  now += ReplicaDirectory::kBackWithin;
  rig.directory.OnTick(now);
  ASSERT_EQ(rig.directory.Of("s").size(), 1U);
  EXPECT_EQ(rig.directory.Of("s")[0]->id, "alive");
}

// A replica that said that it leaves gets nothing new, in an outage too, and an
// older row that is read late does not take that back.
TEST(ReplicaDirectoryTest, BelievesThatAReplicaLeavesForGood) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry("r"));
  rig.directory.OnStoreLost();
  rig.directory.Put(DirectoryRig::Entry("r", true));
  rig.directory.Put(DirectoryRig::Entry("r", false));
  EXPECT_TRUE(rig.directory.Of("s").empty());
  EXPECT_FALSE(rig.directory.TakesWork("r"));
}

TEST(ReplicaDirectoryTest, FindsTheMakerOfAResult) {
  DirectoryRig rig;
  rig.directory.Put(DirectoryRig::Entry("r"));
  ASSERT_NE(rig.directory.MakerOf("10.0.0.1:80/x"), nullptr);
  EXPECT_EQ(rig.directory.MakerOf("10.0.0.1:80/x")->id, "r");
  EXPECT_EQ(rig.directory.MakerOf("10.0.0.2:80/x"), nullptr);
}

}  // namespace
}  // namespace acaciachute
