// Tests in which order a batcher takes pieces, to which replicas it sends them,
// and how it handles failures.
#include "coordination/stages/piece_batcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <utility>

#include "tests/gateway/quiet_log.h"

namespace acaciachute {
namespace {

constexpr DurationUs kMs = kMillisecond;

struct BatcherRig : PieceBatcherOutput, DirectoryWatcher {
  BatcherRig() {
    budget.SetLimits(0, {0.2, 200, 10 * kSecond});
    budget.SetGatewayCount(0, 1);
    BatchLimits limits;
    limits.slots = 1;
    limits.queue = 2;
    limits.batch = 10;
    limits.call = 240 * kMs;
    limits.piece = 10 * kMs;
    limits.result_memory_bytes = 100;
    limits.result_lifetime = 4 * kSecond;
    batcher.SetService("maker", limits);
  }

  void AddReplicas(int n, const std::string& domain = "a") {
    for (int k = 0; k < n; ++k) {
      const std::string number = std::to_string(++last_replica);
      ReplicaEntry entry;
      entry.id = "m" + number;
      entry.service = "maker";
      entry.address = {"10.0.0." + number, 80};
      entry.domain = domain;
      directory.Put(entry);
    }
  }
  static PieceTask Task(const std::string& request,
                        std::uint32_t piece,
                        std::uint32_t priority = 1) {
    PieceTask task;
    task.key = {request, 0, piece};
    task.service = "maker";
    task.time_left = 8 * kSecond;
    task.time_to_begin = kSecond;
    task.priority = priority;
    task.result_bytes = 1;
    return task;
  }
  void Add(const PieceTask& task) { batcher.Add(now, task); }
  // Starts a piece whose input no other piece needs.
  PieceTask StartSoleUser() {
    PieceTask task = Task("r", 0);
    task.inputs = {"10.0.1.1:80/x"};
    task.sole_users = 1;
    Add(task);
    batcher.Dispatch(now);
    return task;
  }
  void Advance(DurationUs time) {
    now += time;
    batcher.OnTick(now);
  }
  // Answers a call with results for all its pieces.
  void CompleteCall(const PieceCall& call) {
    PieceCallEnd end;
    end.kind = PieceCallEnd::Kind::kAnswered;
    for (const PieceTask& it : call.pieces) {
      end.results.push_back({it.key, PieceOutcome::kMade,
                             call.address.ip + ":80/" + it.key.request + "." +
                                 std::to_string(it.key.piece)});
    }
    batcher.OnCallEnd(now, call.id, end);
  }

  void StartCall(const PieceCall& call) override { calls.push_back(call); }
  bool MayCall(TimeUs at, const ReplicaEntry& replica) override {
    return at >= NextCall(at, replica);
  }
  TimeUs NextCall(TimeUs at, const ReplicaEntry& replica) override {
    const auto it = closed_until.find(replica.id.name);
    return it == closed_until.end() ? at : std::max(at, it->second);
  }
  bool MayRelease(TimeUs at, const std::string& handle) override {
    const ReplicaEntry* producer = directory.ProducerOf(handle);
    return producer == nullptr || at >= NextCall(at, *producer);
  }
  void OnPiece(const PieceResult& result) override {
    results.push_back(result);
  }
  void OnInputsRead(const std::vector<std::string>& handles) override {
    read.insert(read.end(), handles.begin(), handles.end());
  }
  bool ShortOfMemory(const std::vector<std::string>&) override {
    return short_of_memory;
  }
  void ReleaseAt(const Address&,
                 const std::vector<std::string>& handles) override {
    freed.insert(freed.end(), handles.begin(), handles.end());
  }
  void OnReplica(const ReplicaEntry& replica, DirectoryChange change) override {
    if (change == DirectoryChange::kRemoved) {
      batcher.OnReplicaRemoved(now, replica.id);
    } else if (change == DirectoryChange::kRestarted) {
      batcher.OnReplicaRestarted(now, replica.id);
    }
  }

  TimeUs now = 1000 * kSecond;
  int last_replica = 0;
  ReplicaDirectory directory{this};
  Metrics metrics;
  QuietLog quiet_log;
  ServiceRetryBudget budget{"maker", &metrics, &quiet_log};
  PieceBatcher batcher{&directory, &budget, this};
  std::vector<PieceCall> calls;
  std::vector<PieceResult> results;
  std::vector<std::string> freed;
  std::vector<std::string> read;
  bool short_of_memory = true;
  // Replicas that accept no call before this time.
  std::map<std::string, TimeUs> closed_until;
};

// Pieces of many requests arrive at once and share calls, up to the batch size.
TEST(PieceBatcherTest, FillsCallsOverRequests) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 25; ++n) {
    rig.Add(BatcherRig::Task("r" + std::to_string(n), 0));
  }
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 1U);
  EXPECT_EQ(rig.calls[0].pieces.size(), 10U);
  rig.CompleteCall(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces.size(), 10U);
  EXPECT_EQ(rig.results.size(), 10U);
}

// Two replicas are free and eight pieces wait. Both are used, so that each
// piece waits for half of the others only.
TEST(PieceBatcherTest, SharesWorkBetweenFreeReplicas) {
  BatcherRig rig;
  rig.AddReplicas(2);
  for (int n = 0; n < 8; ++n) {
    rig.Add(BatcherRig::Task("r" + std::to_string(n), 0));
  }
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[0].pieces.size(), 4U);
}

// Many pieces of low priority wait when an urgent one arrives. It is in the
// next call, before all of them.
TEST(PieceBatcherTest, TakesUrgentPiecesFirst) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 30; ++n) {
    rig.Add(BatcherRig::Task("p" + std::to_string(n), 0, 2));
  }
  rig.Advance(10 * kMs);
  rig.Add(BatcherRig::Task("urgent", 0, 0));
  rig.CompleteCall(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces[0].key.request, "urgent");
}

// A request that can still be on time goes before a backlog of requests that
// are late already.
TEST(PieceBatcherTest, TakesOnTimePiecesBeforeLatePieces) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 30; ++n) {
    PieceTask late = BatcherRig::Task("late" + std::to_string(n), 0, 0);
    late.time_to_begin = -kMs;
    rig.Add(late);
  }
  rig.Advance(10 * kMs);
  rig.Add(BatcherRig::Task("fresh", 0, 2));
  rig.CompleteCall(rig.calls[0]);
  EXPECT_EQ(rig.calls[1].pieces[0].key.request, "fresh");
}

// Requests with some finished pieces are completed before others start: their
// results occupy memory meanwhile.
TEST(PieceBatcherTest, FinishesStartedRequestsFirst) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (std::uint32_t n = 0; n < 12; ++n) {
    rig.Add(BatcherRig::Task("big", n, 2));
  }
  rig.Advance(10 * kMs);
  rig.Add(BatcherRig::Task("urgent", 0, 0));
  rig.CompleteCall(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces[0].key.request, "big");
  EXPECT_EQ(rig.calls[1].pieces[2].key.request, "urgent");
}

// Results are not released for a while. No more pieces start than the replica
// has memory for, and the others start once results are released.
TEST(PieceBatcherTest, BeginsNoMoreThanThereIsMemoryFor) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 8; ++n) {
    PieceTask task = BatcherRig::Task("r" + std::to_string(n), 0);
    task.result_bytes = 30;
    rig.Add(task);
  }
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 1U);
  EXPECT_EQ(rig.calls[0].pieces.size(), 3U);
  rig.CompleteCall(rig.calls[0]);
  EXPECT_EQ(rig.calls.size(), 1U);
  rig.batcher.ReleaseResults({rig.results[0].handle});
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces.size(), 1U);
  EXPECT_EQ(rig.freed, std::vector<std::string>{rig.results[0].handle});
}

// A broken call does not cost the request its piece: the piece runs on another
// replica, and the replica that failed gets no calls for a while.
TEST(PieceBatcherTest, RerunsPiecesAfterABrokenCall) {
  BatcherRig rig;
  rig.AddReplicas(2);
  rig.Add(BatcherRig::Task("r", 0));
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 1U);
  rig.batcher.OnCallEnd(rig.now, rig.calls[0].id,
                        {PieceCallEnd::Kind::kBroken, "reset", {}});
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_NE(rig.calls[0].replica, rig.calls[1].replica);
  rig.CompleteCall(rig.calls[1]);
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kMade);
}

// One of two replicas takes four times as long. The pieces of its call also run
// on the other one; the first result is used and the second is released.
TEST(PieceBatcherTest, DoesNotWaitForAStraggler) {
  BatcherRig rig;
  rig.AddReplicas(2);
  rig.Add(BatcherRig::Task("r", 0));
  rig.Advance(10 * kMs);
  rig.Advance(700 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.CompleteCall(rig.calls[1]);
  EXPECT_EQ(rig.results.size(), 1U);
  rig.CompleteCall(rig.calls[0]);
  rig.Advance(10 * kMs);
  EXPECT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.freed.size(), 1U);
}

// A piece whose deadline has passed ends at once, although no replica exists
// that could run it.
TEST(PieceBatcherTest, EndsPiecesPastTheirDeadline) {
  BatcherRig rig;
  rig.Add(BatcherRig::Task("r", 0));
  rig.Advance(9 * kSecond);
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kLate);
}

TEST(PieceBatcherTest, RunsNothingForADroppedRequest) {
  BatcherRig rig;
  rig.AddReplicas(1);
  rig.Add(BatcherRig::Task("gone", 0));
  rig.batcher.CancelRequest("gone");
  rig.Advance(10 * kMs);
  EXPECT_TRUE(rig.calls.empty());
  EXPECT_TRUE(rig.batcher.Idle());
}

// Guards against a piece that never ends: a call that held it before it was
// cancelled and submitted again ends, and must not count for the new one.
TEST(PieceBatcherTest, ACallOfACancelledPieceDoesNotEndItsSuccessor) {
  BatcherRig rig;
  rig.AddReplicas(2);
  rig.Add(BatcherRig::Task("r", 0));
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 1U);
  rig.batcher.CancelStage("r", 0);
  rig.Add(BatcherRig::Task("r", 0));
  PieceCallEnd gone;
  gone.kind = PieceCallEnd::Kind::kAnswered;
  gone.results = {{{"r", 0, 0}, PieceOutcome::kInputMissing, ""}};
  rig.batcher.OnCallEnd(rig.now, rig.calls[0].id, gone);
  EXPECT_TRUE(rig.results.empty());
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.CompleteCall(rig.calls[1]);
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kMade);
  EXPECT_TRUE(rig.batcher.Idle());
}

// A piece waits for a limited time for a replica in the domain of its inputs,
// then takes any.
TEST(PieceBatcherTest, PrefersTheFailureDomainOfItsInputsForAWhile) {
  BatcherRig rig;
  rig.AddReplicas(1, "b");
  rig.AddReplicas(1, "a");
  rig.Add(BatcherRig::Task("first", 0));
  PieceTask blocker = BatcherRig::Task("blocker", 0);
  blocker.near_domain = "a";
  rig.Add(blocker);
  rig.Advance(10 * kMs);
  // Whichever piece occupies the replica in "a", another piece for "a" waits
  // for it.
  PieceTask near = BatcherRig::Task("near", 0);
  near.near_domain = "a";
  near.time_to_begin = 0;
  const std::size_t before = rig.calls.size();
  rig.Add(near);
  rig.Advance(10 * kMs);
  const bool free_elsewhere = before < 2;
  EXPECT_EQ(rig.calls.size(), before);
  rig.Advance(PieceBatcher::kMinPreferredDomainWait);
  EXPECT_EQ(rig.calls.size(), free_elsewhere ? before + 1 : before);
}

// Large inputs are in one failure domain, whose replica is busy for another 300
// ms. A piece whose request has time to spare waits for that replica for up to
// half of that time, because transfers between domains cost fees.
TEST(PieceBatcherTest, WaitsLongerForItsDomainWhereThereIsTime) {
  BatcherRig rig;
  rig.AddReplicas(1, "a");
  rig.Add(BatcherRig::Task("first", 0));
  rig.batcher.Dispatch(rig.now);
  rig.AddReplicas(1, "b");
  PieceTask near = BatcherRig::Task("near", 0);
  near.near_domain = "a";
  near.time_to_begin = 400 * kMs;
  rig.Add(near);
  rig.Advance(PieceBatcher::kMinPreferredDomainWait + 10 * kMs);
  EXPECT_EQ(rig.calls.size(), 1U);
  rig.Advance(60 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].replica, "m2");
}

// The queue grows, and the reported wait grows with it, by rank.
TEST(PieceBatcherTest, ReportsWaitsByRank) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 60; ++n) {
    rig.Add(BatcherRig::Task("r" + std::to_string(n), 0, 2));
  }
  rig.Advance(10 * kMs);
  const QueueWait wait = rig.batcher.ExpectedWait(rig.now);
  EXPECT_LT(wait.Of(0), 400 * kMs);
  EXPECT_GT(wait.Of(2), kSecond);
  EXPECT_GE(wait.late, wait.Of(2));
}

// More pieces wait than a call holds. Those of one request go into the same
// call: split over two calls, the results of the first would occupy memory
// until the second ends.
TEST(PieceBatcherTest, DoesNotSplitARequestOverCalls) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (const char* request : {"r1", "r2", "r3"}) {
    for (std::uint32_t n = 0; n < 4; ++n) {
      rig.Add(BatcherRig::Task(request, n));
    }
  }
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  EXPECT_EQ(rig.calls[0].pieces.size(), 8U) << "of ten that would fit";
  rig.CompleteCall(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces.size(), 4U);
}

// A replica has memory for some of a request's results. If the request started
// in part, those results would occupy memory until there is enough for the
// others; so it waits, and a smaller request behind it goes first.
TEST(PieceBatcherTest, BeginsARequestOnlyWhereThereIsMemoryForAllOfIt) {
  BatcherRig rig;
  rig.AddReplicas(1);
  const auto add = [&](const std::string& request, std::uint32_t pieces,
                       std::uint64_t bytes) {
    for (std::uint32_t n = 0; n < pieces; ++n) {
      PieceTask task = BatcherRig::Task(request, n);
      task.result_bytes = bytes;
      rig.Add(task);
    }
  };
  add("r1", 1, 80);  // Of the 100 bytes of the replica.
  add("r2", 3, 10);
  add("r3", 1, 10);
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  ASSERT_EQ(rig.calls[0].pieces.size(), 2U);
  EXPECT_EQ(rig.calls[0].pieces[1].key.request, "r3");
}

// Many requests wait for memory, and a replica has a little of it. It skips
// those that do not fit, so that a small one starts, but only a limited number
// of them.
TEST(PieceBatcherTest, SkipsALimitedNumberThatDoNotFit) {
  for (const std::size_t large :
       {PieceBatcher::kMaxSkippedGroups - 1, PieceBatcher::kMaxSkippedGroups}) {
    BatcherRig rig;
    rig.AddReplicas(1);
    PieceTask first = BatcherRig::Task("first", 0, 0);
    first.result_bytes = 90;
    rig.Add(first);
    for (std::size_t n = 0; n < large; ++n) {
      PieceTask task = BatcherRig::Task("large" + std::to_string(n), 0);
      task.result_bytes = 20;
      rig.Add(task);
    }
    PieceTask small = BatcherRig::Task("small", 0, 2);
    small.result_bytes = 5;
    rig.Add(small);
    rig.batcher.Dispatch(rig.now);
    ASSERT_EQ(rig.calls.size(), 1U);
    EXPECT_EQ(rig.calls[0].pieces.size(),
              large < PieceBatcher::kMaxSkippedGroups ? 2U : 1U);
  }
}

// A request with more pieces than a call holds is split.
TEST(PieceBatcherTest, SplitsARequestThatNoCallCouldTake) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (std::uint32_t n = 0; n < 12; ++n) {
    rig.Add(BatcherRig::Task("r", n));
  }
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  EXPECT_EQ(rig.calls[0].pieces.size(), 10U);
}

// Guards against a call that states as many inputs as its pieces times the
// pieces of the stage before; the others go into further calls.
TEST(PieceBatcherTest, BoundsTheInputsOfACall) {
  BatcherRig rig;
  rig.AddReplicas(1);
  const PieceInputs inputs(PieceInputs::List(
      1000, std::string(PieceBatcher::kMaxCallInputBytes / 4000, 'h')));
  for (std::uint32_t n = 0; n < 10; ++n) {
    PieceTask task = BatcherRig::Task("r", n);
    task.inputs = inputs;
    rig.Add(task);
  }
  rig.batcher.Dispatch(rig.now);
  for (std::size_t n = 0; n < 3; ++n) {
    ASSERT_EQ(rig.calls.size(), n + 1);
    EXPECT_EQ(rig.calls[n].pieces.size(), n < 2 ? 4U : 2U);
    rig.CompleteCall(rig.calls[n]);
  }
  EXPECT_EQ(rig.results.size(), 10U);
}

// A burst fills the replicas of the preceding stage with results that are kept
// only while this stage works on them. Its calls read their inputs at the
// beginning. When the last of a request's pieces has done so, the results are
// released, long before the calls end.
TEST(PieceBatcherTest, ReleasesInputsOnceEveryPieceHasReadThem) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (std::uint32_t n = 0; n < 11; ++n) {  // One more than a call holds.
    PieceTask task = BatcherRig::Task("r", n);
    task.inputs = {"10.0.1.1:80/x", "10.0.1.2:80/y"};
    task.sole_users = 11;
    rig.Add(task);
  }
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  rig.Advance(150 * kMs);
  EXPECT_TRUE(rig.read.empty()) << "one piece has not started";

  rig.CompleteCall(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.Advance(50 * kMs);
  EXPECT_TRUE(rig.read.empty()) << "the second call may still be reading";
  rig.Advance(60 * kMs);
  EXPECT_EQ(rig.read,
            (std::vector<std::string>{"10.0.1.1:80/x", "10.0.1.2:80/y"}));
}

// A piece fails while the replicas with its inputs have free memory. Its inputs
// are still there, so it alone runs again and not all stages of its request.
TEST(PieceBatcherTest, KeepsInputsWhereMemoryIsNotShort) {
  BatcherRig rig;
  rig.short_of_memory = false;
  rig.AddReplicas(2);
  const PieceTask task = rig.StartSoleUser();
  rig.Advance(200 * kMs);
  EXPECT_TRUE(rig.read.empty());
  PieceCallEnd end;
  end.kind = PieceCallEnd::Kind::kAnswered;
  end.results.push_back({task.key, PieceOutcome::kFailed, ""});
  rig.batcher.OnCallEnd(rig.now, rig.calls[0].id, end);
  EXPECT_TRUE(rig.results.empty());
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.CompleteCall(rig.calls[1]);
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kMade);
}

// Another stage needs the same results, so they are not released here.
TEST(PieceBatcherTest, KeepsInputsThatAnotherStageNeeds) {
  BatcherRig rig;
  rig.AddReplicas(1);
  PieceTask task = BatcherRig::Task("r", 0);
  task.inputs = {"10.0.1.1:80/x"};
  rig.Add(task);
  rig.batcher.Dispatch(rig.now);
  rig.Advance(200 * kMs);
  EXPECT_TRUE(rig.read.empty());
}

// A replica crashes with a call whose inputs were released. If the pieces were
// sent again, they would wait in the queue although their inputs no longer
// exist. So the missing inputs are reported at once, and the request starts its
// stages again. A call that is only slow is not ended, because its replica has
// read the inputs.
TEST(PieceBatcherTest, ReportsAtOnceThatInputsAreGoneWhenTheirCallBreaks) {
  BatcherRig rig;
  rig.AddReplicas(2);
  const PieceTask task = rig.StartSoleUser();
  rig.Advance(150 * kMs);
  ASSERT_EQ(rig.read.size(), 1U);
  rig.Advance(kSecond);
  EXPECT_EQ(rig.calls.size(), 1U)
      << "a piece without inputs must not be sent again";

  rig.batcher.OnCallEnd(rig.now, rig.calls[0].id,
                        {PieceCallEnd::Kind::kBroken, "reset", {}});
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kInputMissing);
  EXPECT_EQ(rig.calls.size(), 1U);
}

// Two pieces share their inputs. The call of the first one breaks after reading
// them, and the piece waits for the only other replica, which is busy with the
// second piece. That one has read the inputs too; they are kept until the first
// piece has read them again.
TEST(PieceBatcherTest, KeepsInputsForAPieceThatHasToReadThemAgain) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (std::uint32_t n = 0; n < 2; ++n) {
    PieceTask task = BatcherRig::Task("r", n);
    task.inputs = {"10.0.1.1:80/x"};
    task.sole_users = 2;
    task.result_bytes = 60;  // Only one of them fits on a replica.
    rig.Add(task);
  }
  rig.batcher.Dispatch(rig.now);
  rig.Advance(50 * kMs);
  rig.AddReplicas(1);
  rig.Advance(0);
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.Advance(60 * kMs);  // The first call has read the inputs.
  rig.batcher.OnCallEnd(rig.now, rig.calls[0].id,
                        {PieceCallEnd::Kind::kBroken, "reset", {}});
  rig.Advance(60 * kMs);  // The second call has read the inputs.
  EXPECT_EQ(rig.calls.size(), 2U);
  EXPECT_TRUE(rig.read.empty()) << "the first waits to read them again";
  rig.CompleteCall(rig.calls[1]);
  rig.batcher.ReleaseResults({"10.0.0.2:80/r.1"});  // Frees memory.
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 3U);
  rig.Advance(110 * kMs);
  EXPECT_EQ(rig.read.size(), 1U);
}

// The pieces of an overdue call are queued again before the last piece of the
// request has started. Then their inputs are released, and the second call does
// not find them. That does not end the first call, which has read them.
TEST(PieceBatcherTest, ASecondCallWithoutInputsDoesNotEndTheFirst) {
  BatcherRig rig;
  rig.AddReplicas(2);
  PieceTask task = BatcherRig::Task("r", 0);
  task.inputs = {"10.0.1.1:80/x"};
  rig.Add(task);
  rig.batcher.Dispatch(rig.now);
  rig.Advance(kSecond);
  ASSERT_EQ(rig.calls.size(), 2U);
  PieceCallEnd end;
  end.kind = PieceCallEnd::Kind::kAnswered;
  end.results.push_back({task.key, PieceOutcome::kInputMissing, ""});
  rig.batcher.OnCallEnd(rig.now, rig.calls[1].id, end);
  EXPECT_TRUE(rig.results.empty());
  rig.CompleteCall(rig.calls[0]);
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kMade);
}

// With a long queue and two replicas, the answer of one call is lost. The
// pieces of that call run again without waiting for the call's time limit of
// four seconds, and the replica whose answer was lost continues to get calls.
TEST(PieceBatcherTest, UsesAReplicaWhoseAnswerWasLost) {
  BatcherRig rig;
  rig.AddReplicas(2);
  for (int n = 0; n < 80; ++n) {
    rig.Add(BatcherRig::Task("r" + std::to_string(n), 0));
  }
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 2U);
  const PieceCall lost = rig.calls[0];
  std::size_t answered = 1;
  std::size_t at_lost = 0;
  for (int round = 0; round < 5; ++round) {
    rig.Advance(340 * kMs);
    for (const std::size_t open = rig.calls.size(); answered < open;
         ++answered) {
      at_lost += rig.calls[answered].replica == lost.replica ? 1 : 0;
      rig.CompleteCall(PieceCall(rig.calls[answered]));
    }
  }
  EXPECT_GE(at_lost, 2U);
  const auto is_lost = [&](const PieceResult& it) {
    return it.key == lost.pieces[0].key;
  };
  EXPECT_EQ(std::count_if(rig.results.begin(), rig.results.end(), is_lost), 1);
}

// The results of a lost answer occupy the replica's memory until it discards
// them: a call that needs this memory does not start before.
TEST(PieceBatcherTest, CountsTheResultsOfALostAnswer) {
  BatcherRig rig;
  rig.AddReplicas(1);
  PieceTask large = BatcherRig::Task("large", 0);
  large.result_bytes = 60;
  rig.Add(large);
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  rig.Advance(kSecond);  // The call is overdue.
  rig.Add(BatcherRig::Task("small", 0));
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.CompleteCall(PieceCall(rig.calls[1]));
  rig.Advance(100 * kMs);
  EXPECT_EQ(rig.calls.size(), 2U)
      << "no memory for the large piece beside its lost result";
  rig.Advance(4 * kSecond);
  ASSERT_EQ(rig.calls.size(), 3U);
  EXPECT_EQ(rig.calls[2].pieces[0].key.request, "large");
}

// A replica restarts under the same name during a call. Its pieces run again at
// once; the account of its memory starts from zero, and the new incarnation
// gets calls although the old one's call never ended.
TEST(PieceBatcherTest, RerunsPiecesWhenTheirReplicaRestarts) {
  BatcherRig rig;
  ReplicaEntry entry;
  entry.id = {"m", 5};
  entry.service = "maker";
  entry.address = {"10.0.0.1", 80};
  rig.directory.Put(entry);
  rig.Add(BatcherRig::Task("r", 0));
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  entry.id.incarnation = 6;
  rig.directory.Put(entry);
  rig.Advance(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].replica, ReplicaId("m", 6));
  EXPECT_EQ(rig.calls[1].held_bytes, 1U);
  // A late answer of the old incarnation has no effect.
  rig.CompleteCall(rig.calls[0]);
  EXPECT_TRUE(rig.results.empty());
  rig.CompleteCall(rig.calls[1]);
  EXPECT_EQ(rig.results.size(), 1U);
}

// Guards against requests that are admitted and wait until they expire, because
// the predicted wait does not know that the replicas rest or state limits. A
// batch that one refuses goes to another.
TEST(PieceBatcherTest, PredictsWaitsWithReplicasThatAcceptNoCalls) {
  BatcherRig rig;
  rig.AddReplicas(2);
  rig.closed_until["m1"] = rig.now + 3 * kSecond;
  rig.Add(BatcherRig::Task("r", 0));
  EXPECT_LT(rig.batcher.ExpectedWait(rig.now).Of(1), 100 * kMs);
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  EXPECT_EQ(rig.calls[0].replica, ReplicaId("m2"));
  rig.CompleteCall(rig.calls[0]);
  rig.closed_until["m2"] = rig.now + 2 * kSecond;
  rig.Add(BatcherRig::Task("s", 0));
  rig.Advance(10 * kMs);
  EXPECT_EQ(rig.calls.size(), 1U);
  const DurationUs wait = rig.batcher.ExpectedWait(rig.now).Of(1);
  EXPECT_GE(wait, 1900 * kMs);
  EXPECT_LT(wait, 2200 * kMs);
  rig.Advance(2 * kSecond);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].replica, ReplicaId("m2"));
}

// Guards against a replica that asked for rest and gets requests to release
// results; they wait and go in one message.
TEST(PieceBatcherTest, ReleasesWaitForTheEndOfARest) {
  BatcherRig rig;
  rig.AddReplicas(1);
  rig.closed_until["m1"] = rig.now + kSecond;
  rig.batcher.ReleaseResults({"10.0.0.1:80/a"});
  rig.Advance(10 * kMs);
  rig.batcher.ReleaseResults({"10.0.0.1:80/b"});
  rig.Advance(10 * kMs);
  EXPECT_TRUE(rig.freed.empty());
  rig.Advance(kSecond);
  EXPECT_EQ(rig.freed,
            (std::vector<std::string>{"10.0.0.1:80/a", "10.0.0.1:80/b"}));
}

}  // namespace
}  // namespace acaciachute
