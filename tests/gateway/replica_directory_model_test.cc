// Generated histories of rows against a naive version of the directory.
//
// Rows of several incarnations of a few replicas come in any order, repeated,
// spoiled and removed, with outages between. The naive version keeps every row
// that it was ever given and works out from all of them who takes work.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "state/replica_directory.h"

namespace acaciachute {
namespace {

struct Quiet : DirectoryWatcher {
  void OnReplica(const ReplicaEntry&, DirectoryChange) override {}
};

enum class StepKind { kRow, kSpoiled, kRemoved };

struct Step {
  StepKind kind = StepKind::kRow;
  int replica = 0;
  Incarnation incarnation = 1;
  bool leaving = false;
};

std::string NameOf(int replica) {
  return "r" + std::to_string(replica);
}

// All that was said, by replica and incarnation.
class NaiveDirectory {
 public:
  void Take(const Step& step) {
    auto& it = replicas_[step.replica];
    switch (step.kind) {
      case StepKind::kRow:
        if (step.incarnation < it.newest) {
          return;
        }
        it.newest = step.incarnation;
        it.listed = true;
        it.spoiled = false;
        if (step.leaving) {
          it.left.insert(step.incarnation);
        }
        return;
      case StepKind::kSpoiled:
        it.spoiled = it.listed;
        return;
      case StepKind::kRemoved:
        it.listed = false;
        it.spoiled = false;
        return;
    }
  }
  std::set<ReplicaId> TakeWork() const {
    std::set<ReplicaId> out;
    for (const auto& [n, it] : replicas_) {
      if (it.listed && !it.spoiled && !it.left.contains(it.newest)) {
        out.insert({NameOf(n), it.newest});
      }
    }
    return out;
  }

 private:
  struct Replica {
    Incarnation newest = 0;
    bool listed = false;
    bool spoiled = false;
    std::set<Incarnation> left;
  };
  std::map<int, Replica> replicas_;
};

Step DrawStep() {
  Step step;
  step.kind = *rc::gen::weightedElement<StepKind>(
      {{6, StepKind::kRow}, {1, StepKind::kSpoiled}, {2, StepKind::kRemoved}});
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
    case StepKind::kSpoiled:
      directory->PutUnreadable(name);
      return;
    case StepKind::kRemoved:
      directory->Remove(0, name);
      return;
  }
}

RC_GTEST_PROP(ReplicaDirectoryModelTest, AgreesWithTheNaiveVersion, ()) {
  Quiet quiet;
  ReplicaDirectory directory(&quiet);
  NaiveDirectory naive;
  const int steps = *rc::gen::inRange(1, 60);
  for (int n = 0; n < steps; ++n) {
    const Step step = DrawStep();
    Apply(&directory, step);
    naive.Take(step);
    std::set<ReplicaId> takes;
    for (const ReplicaEntry* it : directory.Of("s")) {
      takes.insert(it->id);
    }
    RC_ASSERT(takes == naive.TakeWork());
  }
}

// Rows as other writers write them too: without the start of an incarnation,
// with the service or address of another replica.
ReplicaEntry DrawEntry() {
  ReplicaEntry entry;
  const Incarnation incarnation = *rc::gen::inRange<Incarnation>(0, 4);
  entry.id = {NameOf(*rc::gen::inRange(0, 4)), incarnation};
  entry.service = *rc::gen::element<std::string>("s", "t");
  entry.address = {"10.0.0." + std::to_string(*rc::gen::inRange(0, 3)), 80};
  entry.leaving = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
  return entry;
}

// What the indexes should hold, worked out anew from the entries themselves.
struct Expected {
  std::map<std::string, std::set<ReplicaId>> of;
  std::map<std::string, std::set<ReplicaId>> named;  // By address.
};

Expected WorkOut(const ReplicaDirectory& directory,
                 const std::set<ReplicaId>& seen) {
  Expected expected;
  for (const ReplicaId& id : seen) {
    const ReplicaEntry* entry = directory.Find(id);
    if (entry == nullptr) {
      continue;
    }
    expected.named[entry->address.ip].insert(id);
    if (directory.TakesWork(id)) {
      expected.of[entry->service].insert(id);
    }
  }
  return expected;
}

// Indexes that are kept as rows come and go say the same as the rows: a replica
// that a list keeps after its row is gone would get work, and one that a list
// lost would never get any.
RC_GTEST_PROP(ReplicaDirectoryModelTest, IndexesFollowTheRows, ()) {
  Quiet quiet;
  ReplicaDirectory directory(&quiet);
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
    const Expected expected = WorkOut(directory, seen);
    for (const std::string service : {"s", "t"}) {
      std::set<ReplicaId> of;
      for (const ReplicaEntry* it : directory.Of(service)) {
        RC_ASSERT(of.insert(it->id).second);
      }
      const auto want = expected.of.find(service);
      RC_ASSERT(of == (want == expected.of.end() ? std::set<ReplicaId>()
                                                 : want->second));
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
