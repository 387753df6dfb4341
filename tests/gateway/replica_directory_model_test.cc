// Generated histories of rows against a naive version of the directory.
//
// Rows of several lives of a few replicas come in any order, repeated, spoiled
// and removed, with outages between. The naive version keeps every row that it
// was ever given and works out from all of them who takes work.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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
  Incarnation life = 1;
  bool leaving = false;
};

std::string NameOf(int replica) {
  return "r" + std::to_string(replica);
}

// All that was said, by replica and life.
class NaiveDirectory {
 public:
  void Take(const Step& step) {
    auto& it = replicas_[step.replica];
    switch (step.kind) {
      case StepKind::kRow:
        if (step.life < it.newest) {
          return;
        }
        it.newest = step.life;
        it.listed = true;
        it.spoiled = false;
        if (step.leaving) {
          it.left.insert(step.life);
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
  step.life = *rc::gen::inRange<Incarnation>(1, 5);
  step.leaving = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
  return step;
}

void Apply(ReplicaDirectory* directory, const Step& step) {
  const std::string name = NameOf(step.replica);
  ReplicaEntry entry;
  switch (step.kind) {
    case StepKind::kRow:
      entry.id = {name, step.life};
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

}  // namespace
}  // namespace acaciachute
