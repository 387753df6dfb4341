// Property tests of `ReplicaDirectory` against a naive reference model.
//
// Generated histories contain rows of several incarnations of a few replicas in
// any order, repeated rows, unreadable rows, removals and outages. The model
// stores everything that the rows stated by replica and incarnation, and
// derives from that which replicas accept work.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "state/replica_directory.h"

namespace acaciachute {
namespace {

struct NullWatcher : DirectoryWatcher {
  void OnReplica(const ReplicaEntry&, DirectoryChange) override {}
};

enum class StepKind { kRow, kUnreadable, kRemoved };

struct Step {
  StepKind kind = StepKind::kRow;
  int replica = 0;
  Incarnation incarnation = 1;
  bool leaving = false;
};

std::string NameOf(int replica) {
  return "r" + std::to_string(replica);
}

// The reference model: state by replica and incarnation.
class ModelDirectory {
 public:
  void AddStep(const Step& step) {
    auto& it = replicas_[step.replica];
    switch (step.kind) {
      case StepKind::kRow:
        if (step.incarnation < it.newest) {
          return;
        }
        it.newest = step.incarnation;
        it.listed = true;
        it.unreadable = false;
        if (step.leaving) {
          it.left.insert(step.incarnation);
        }
        return;
      case StepKind::kUnreadable:
        it.unreadable = it.listed;
        return;
      case StepKind::kRemoved:
        it.listed = false;
        it.unreadable = false;
        return;
    }
  }
  std::set<ReplicaId> EligibleReplicas() const {
    std::set<ReplicaId> out;
    for (const auto& [n, it] : replicas_) {
      if (it.listed && !it.unreadable && !it.left.contains(it.newest)) {
        out.insert({NameOf(n), it.newest});
      }
    }
    return out;
  }

 private:
  struct Replica {
    Incarnation newest = 0;
    bool listed = false;
    bool unreadable = false;
    std::set<Incarnation> left;
  };
  std::map<int, Replica> replicas_;
};

Step DrawStep() {
  Step step;
  step.kind = *rc::gen::weightedElement<StepKind>({{6, StepKind::kRow},
                                                   {1, StepKind::kUnreadable},
                                                   {2, StepKind::kRemoved}});
  step.replica = *rc::gen::inRange(0, 3);
  step.incarnation = *rc::gen::inRange<Incarnation>(1, 5);
  step.leaving = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
  return step;
}

void Apply(ReplicaDirectory* directory, const Step& step) {
  const std::string name = NameOf(step.replica);
  ReplicaEntry entry;
  switch (step.kind) {
    case StepKind::kRow:
      entry.id = {name, step.incarnation};
      entry.service = "s";
      entry.address = {"10.0.0." + std::to_string(step.replica), 80};
      entry.leaving = step.leaving;
      directory->Put(entry);
      return;
    case StepKind::kUnreadable:
      directory->PutUnreadable(name);
      return;
    case StepKind::kRemoved:
      directory->Remove(0, name);
      return;
  }
}

RC_GTEST_PROP(ReplicaDirectoryModelTest, AgreesWithTheNaiveVersion, ()) {
  NullWatcher watcher;
  ReplicaDirectory directory(&watcher);
  ModelDirectory model;
  const int steps = *rc::gen::inRange(1, 60);
  for (int n = 0; n < steps; ++n) {
    const Step step = DrawStep();
    Apply(&directory, step);
    model.AddStep(step);
    std::set<ReplicaId> eligible;
    for (const ReplicaEntry* it : directory.Of("s")) {
      eligible.insert(it->id);
    }
    RC_ASSERT(eligible == model.EligibleReplicas());
  }
}

// Draws rows including those that other writers may write: without the start of
// the incarnation, or with the service or address of another replica.
ReplicaEntry DrawEntry() {
  ReplicaEntry entry;
  const Incarnation incarnation = *rc::gen::inRange<Incarnation>(0, 4);
  entry.id = {NameOf(*rc::gen::inRange(0, 4)), incarnation};
  entry.service = *rc::gen::element<std::string>("s", "t");
  entry.address = {"10.0.0." + std::to_string(*rc::gen::inRange(0, 3)), 80};
  entry.leaving = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
  return entry;
}

// Expected contents of the indexes, computed from the entries themselves.
struct Expected {
  std::map<std::string, std::set<ReplicaId>> offered;
  std::map<std::string, std::set<ReplicaId>> named;  // By address.
};

Expected ComputeExpected(const ReplicaDirectory& directory,
                         const std::set<ReplicaId>& seen) {
  Expected expected;
  for (const ReplicaId& id : seen) {
    const ReplicaEntry* entry = directory.Find(id);
    if (entry == nullptr) {
      continue;
    }
    expected.named[entry->address.ip].insert(id);
    if (directory.TakesWork(id)) {
      expected.offered[entry->service].insert(id);
    }
  }
  return expected;
}

// The incrementally updated indexes must agree with the rows. Otherwise a
// replica that stays in an index after its row was removed would get work, and
// one that is missing in an index would never get any.
RC_GTEST_PROP(ReplicaDirectoryModelTest, IndexesFollowTheRows, ()) {
  NullWatcher watcher;
  ReplicaDirectory directory(&watcher);
  std::set<ReplicaId> seen;
  const int steps = *rc::gen::inRange(1, 80);
  TimeUs now = 0;
  for (int n = 0; n < steps; ++n) {
    now += *rc::gen::inRange<TimeUs>(0, kSecond);
    const ReplicaEntry entry = DrawEntry();
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        directory.Remove(now, entry.id.name);
        break;
      case 1:
        directory.PutUnreadable(entry.id.name);
        break;
      case 2:
        directory.OnStoreLost(now);
        break;
      case 3:
        directory.OnStoreBack(now);
        break;
      case 4:
        seen.insert(entry.id);
        directory.Replace(now, {entry}, {});
        break;
      default:
        seen.insert(entry.id);
        directory.Put(entry);
    }
    directory.OnTick(now);
    const Expected expected = ComputeExpected(directory, seen);
    for (const std::string service : {"s", "t"}) {
      std::set<ReplicaId> offered;
      for (const ReplicaEntry* it : directory.Of(service)) {
        RC_ASSERT(offered.insert(it->id).second);
      }
      const auto expected_ids = expected.offered.find(service);
      RC_ASSERT(offered == (expected_ids == expected.offered.end()
                                ? std::set<ReplicaId>()
                                : expected_ids->second));
    }
    for (const std::string ip : {"10.0.0.0", "10.0.0.1", "10.0.0.2"}) {
      const ReplicaEntry* producer = directory.ProducerOf(ip + ":80/result");
      const auto named = expected.named.find(ip);
      RC_ASSERT((producer == nullptr) == (named == expected.named.end()));
      if (producer == nullptr) {
        continue;
      }
      RC_ASSERT(named->second.contains(producer->id));
      const bool any_takes = std::any_of(
          named->second.begin(), named->second.end(),
          [&](const ReplicaId& id) { return directory.TakesWork(id); });
      RC_ASSERT(directory.TakesWork(producer->id) == any_takes);
    }
  }
}

}  // namespace
}  // namespace acaciachute
