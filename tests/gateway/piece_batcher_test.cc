// Whom a batcher serves, where it sends, and what failures cost.
#include "coordination/stages/piece_batcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

namespace acaciachute {
namespace {

constexpr DurationUs kMs = kMillisecond;

struct BatcherRig : PieceBatcherOutput, DirectoryWatcher {
  BatcherRig() {
    budget.SetLimits({0.2, 200, 10 * kSecond});
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
  // Begins a piece whose input nothing else needs.
  PieceTask BeginSoleUser() {
    PieceTask task = Task("r", 0);
    task.inputs = {"10.0.1.1:80/x"};
    task.sole_users = 1;
    Add(task);
    batcher.Dispatch(now);
    return task;
  }
  void Pass(DurationUs time) {
    now += time;
    batcher.OnTick(now);
  }
  // Answers a call whole.
  void Make(const PieceCall& call) {
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
  void OnPiece(const PieceResult& result) override {
    results.push_back(result);
  }
  void OnInputsRead(const std::vector<std::string>& list) override {
    read.insert(read.end(), list.begin(), list.end());
  }
  bool ShortOfMemory(const std::vector<std::string>&) override {
    return short_of_memory;
  }
  void FreeAt(const Address&, const std::vector<std::string>& list) override {
    freed.insert(freed.end(), list.begin(), list.end());
  }
  void OnReplica(const ReplicaEntry& replica, DirectoryChange change) override {
    if (change == DirectoryChange::kGone) {
      batcher.OnReplicaGone(now, replica.id);
    } else if (change == DirectoryChange::kRestarted) {
      batcher.OnReplicaRestarted(now, replica.id);
    }
  }

  TimeUs now = 1000 * kSecond;
  int last_replica = 0;
  ReplicaDirectory directory{this};
  ServiceRetryBudget budget;
  PieceBatcher batcher{&directory, &budget, this};
  std::vector<PieceCall> calls;
  std::vector<PieceResult> results;
  std::vector<std::string> freed;
  std::vector<std::string> read;
  bool short_of_memory = true;
};

// Load: pieces of many requests at once. They share calls, up to the batch.
TEST(PieceBatcherTest, FillsCallsOverRequests) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 25; ++n) {
    rig.Add(BatcherRig::Task("r" + std::to_string(n), 0));
  }
  rig.Pass(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 1U);
  EXPECT_EQ(rig.calls[0].pieces.size(), 10U);
  rig.Make(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces.size(), 10U);
  EXPECT_EQ(rig.results.size(), 10U);
}

// Load: two replicas are free and eight pieces wait. Both are used, so that
// each piece waits for half of the others only.
TEST(PieceBatcherTest, SharesWorkBetweenFreeReplicas) {
  BatcherRig rig;
  rig.AddReplicas(2);
  for (int n = 0; n < 8; ++n) {
    rig.Add(BatcherRig::Task("r" + std::to_string(n), 0));
  }
  rig.Pass(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[0].pieces.size(), 4U);
}

// Load: patient pieces wait in numbers when an urgent one comes. It is in the
// next call, before all of them.
TEST(PieceBatcherTest, TakesUrgentPiecesFirst) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 30; ++n) {
    rig.Add(BatcherRig::Task("p" + std::to_string(n), 0, 2));
  }
  rig.Pass(10 * kMs);
  rig.Add(BatcherRig::Task("urgent", 0, 0));
  rig.Make(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces[0].key.request, "urgent");
}

// Load: a backlog of requests that are late already, and one that can still be
// on time. It goes first.
TEST(PieceBatcherTest, TakesWhatCanBeOnTimeBeforeWhatIsLate) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 30; ++n) {
    PieceTask late = BatcherRig::Task("late" + std::to_string(n), 0, 0);
    late.time_to_begin = -kMs;
    rig.Add(late);
  }
  rig.Pass(10 * kMs);
  rig.Add(BatcherRig::Task("fresh", 0, 2));
  rig.Make(rig.calls[0]);
  EXPECT_EQ(rig.calls[1].pieces[0].key.request, "fresh");
}

// Requests whose pieces are half made are finished before others begin: their
// results hold memory that nothing else can use meanwhile.
TEST(PieceBatcherTest, FinishesBegunRequestsFirst) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (std::uint32_t n = 0; n < 12; ++n) {
    rig.Add(BatcherRig::Task("big", n, 2));
  }
  rig.Pass(10 * kMs);
  rig.Add(BatcherRig::Task("urgent", 0, 0));
  rig.Make(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces[0].key.request, "big");
  EXPECT_EQ(rig.calls[1].pieces[2].key.request, "urgent");
}

// Load: results are not fetched for a while. No more is begun than the replica
// has memory for, and what waits is begun once results are freed.
TEST(PieceBatcherTest, BeginsNoMoreThanThereIsMemoryFor) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 8; ++n) {
    PieceTask task = BatcherRig::Task("r" + std::to_string(n), 0);
    task.result_bytes = 30;
    rig.Add(task);
  }
  rig.Pass(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 1U);
  EXPECT_EQ(rig.calls[0].pieces.size(), 3U);
  rig.Make(rig.calls[0]);
  EXPECT_EQ(rig.calls.size(), 1U);
  rig.batcher.Free({rig.results[0].handle});
  rig.Pass(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces.size(), 1U);
  EXPECT_EQ(rig.freed, std::vector<std::string>{rig.results[0].handle});
}

// A request still gets its piece although the replica broke off: it is made
// again elsewhere, and the replica that failed is left alone for a while.
TEST(PieceBatcherTest, MakesPiecesAgainAfterABrokenCall) {
  BatcherRig rig;
  rig.AddReplicas(2);
  rig.Add(BatcherRig::Task("r", 0));
  rig.Pass(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 1U);
  rig.batcher.OnCallEnd(rig.now, rig.calls[0].id,
                        {PieceCallEnd::Kind::kBroken, "reset", {}});
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_NE(rig.calls[0].replica, rig.calls[1].replica);
  rig.Make(rig.calls[1]);
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kMade);
}

// Load: one replica of two takes four times as long. The pieces of its call are
// made again at the other one, the first result counts and the second is freed.
TEST(PieceBatcherTest, DoesNotWaitForAStraggler) {
  BatcherRig rig;
  rig.AddReplicas(2);
  rig.Add(BatcherRig::Task("r", 0));
  rig.Pass(10 * kMs);
  rig.Pass(700 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.Make(rig.calls[1]);
  EXPECT_EQ(rig.results.size(), 1U);
  rig.Make(rig.calls[0]);
  rig.Pass(10 * kMs);
  EXPECT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.freed.size(), 1U);
}

// The request hears at once that its piece came too late, instead of waiting
// for a replica that nobody has.
TEST(PieceBatcherTest, GivesUpWhatIsOverItsTime) {
  BatcherRig rig;
  rig.Add(BatcherRig::Task("r", 0));
  rig.Pass(9 * kSecond);
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kLate);
}

TEST(PieceBatcherTest, MakesNothingForARequestThatWasDropped) {
  BatcherRig rig;
  rig.AddReplicas(1);
  rig.Add(BatcherRig::Task("gone", 0));
  rig.batcher.Drop("gone");
  rig.Pass(10 * kMs);
  EXPECT_TRUE(rig.calls.empty());
  EXPECT_TRUE(rig.batcher.Idle());
}

// Pieces wait a moment for a replica beside what they fetch, then take any.
TEST(PieceBatcherTest, PrefersTheFailureDomainOfItsInputsForAWhile) {
  BatcherRig rig;
  rig.AddReplicas(1, "b");
  rig.AddReplicas(1, "a");
  rig.Add(BatcherRig::Task("first", 0));
  PieceTask blocker = BatcherRig::Task("blocker", 0);
  blocker.near_domain = "a";
  rig.Add(blocker);
  rig.Pass(10 * kMs);
  // Whoever holds the replica in "a", a second piece for "a" waits for it.
  PieceTask near = BatcherRig::Task("near", 0);
  near.near_domain = "a";
  near.time_to_begin = 0;
  const std::size_t before = rig.calls.size();
  rig.Add(near);
  rig.Pass(10 * kMs);
  const bool free_elsewhere = before < 2;
  EXPECT_EQ(rig.calls.size(), before);
  rig.Pass(PieceBatcher::kNearPatience);
  EXPECT_EQ(rig.calls.size(), free_elsewhere ? before + 1 : before);
}

// Load: large inputs lie in one failure domain, whose replica is at work for
// 300 ms more. A piece whose request has time to spare waits for it, up to half
// of that time; bytes between domains are paid for.
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
  rig.Pass(PieceBatcher::kNearPatience + 10 * kMs);
  EXPECT_EQ(rig.calls.size(), 1U);
  rig.Pass(60 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].replica, "m2");
}

// Load: the queue grows. The wait that is told grows with it, by rank.
TEST(PieceBatcherTest, TellsWaitsByRank) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (int n = 0; n < 60; ++n) {
    rig.Add(BatcherRig::Task("r" + std::to_string(n), 0, 2));
  }
  rig.Pass(10 * kMs);
  const QueueWait wait = rig.batcher.ExpectedWait(rig.now);
  EXPECT_LT(wait.Of(0), 400 * kMs);
  EXPECT_GT(wait.Of(2), kSecond);
  EXPECT_GE(wait.late, wait.Of(2));
}

// Load: more pieces wait than a call takes. Those of one request go together:
// split over two calls, the results of the first hold memory until the second
// is over.
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
  rig.Make(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].pieces.size(), 4U);
}

// Load: a replica has memory for some of a request's results. Begun in part,
// they would hold that memory until there is memory for the rest; so the
// request waits, and a smaller one behind it goes first.
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
  add("r1", 1, 80);  // Of 100 bytes.
  add("r2", 3, 10);
  add("r3", 1, 10);
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  ASSERT_EQ(rig.calls[0].pieces.size(), 2U);
  EXPECT_EQ(rig.calls[0].pieces[1].key.request, "r3");
}

// Load: many requests wait for memory, and a replica has a little of it. It
// looks past those that do not fit, so that a small one is begun, but not past
// any number of them.
TEST(PieceBatcherTest, LooksPastABoundedNumberThatDoNotFit) {
  for (const std::size_t large :
       {PieceBatcher::kLookAhead - 1, PieceBatcher::kLookAhead}) {
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
              large < PieceBatcher::kLookAhead ? 2U : 1U);
  }
}

// More pieces of one request than a call takes are split all the same.
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

// Load: a burst fills the producers of the stage before with results, which are
// kept only while this stage works on them. Its calls read their inputs at
// once; when the last of a request's pieces has done so, the results are let
// go, long before the calls end.
TEST(PieceBatcherTest, LetsInputsGoOnceEveryPieceHasReadThem) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (std::uint32_t n = 0; n < 11; ++n) {  // One more than a call takes.
    PieceTask task = BatcherRig::Task("r", n);
    task.inputs = {"10.0.1.1:80/x", "10.0.1.2:80/y"};
    task.sole_users = 11;
    rig.Add(task);
  }
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  rig.Pass(150 * kMs);
  EXPECT_TRUE(rig.read.empty()) << "one piece has not begun";

  rig.Make(rig.calls[0]);
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.Pass(50 * kMs);
  EXPECT_TRUE(rig.read.empty()) << "the second call may still be reading";
  rig.Pass(60 * kMs);
  EXPECT_EQ(rig.read,
            (std::vector<std::string>{"10.0.1.1:80/x", "10.0.1.2:80/y"}));
}

// What the caller sees: an answer, a call later. A piece fails on a calm day,
// when its inputs' producers have memory to spare. Its inputs are still there,
// so it alone is made again and not all stages of its request.
TEST(PieceBatcherTest, KeepsInputsWhereMemoryIsNotShort) {
  BatcherRig rig;
  rig.short_of_memory = false;
  rig.AddReplicas(2);
  const PieceTask task = rig.BeginSoleUser();
  rig.Pass(200 * kMs);
  EXPECT_TRUE(rig.read.empty());
  PieceCallEnd end;
  end.kind = PieceCallEnd::Kind::kAnswered;
  end.results.push_back({task.key, PieceOutcome::kFailed, ""});
  rig.batcher.OnCallEnd(rig.now, rig.calls[0].id, end);
  EXPECT_TRUE(rig.results.empty());
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.Make(rig.calls[1]);
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kMade);
}

// Another stage needs the same results: nothing is let go here.
TEST(PieceBatcherTest, KeepsInputsThatAnotherStageNeeds) {
  BatcherRig rig;
  rig.AddReplicas(1);
  PieceTask task = BatcherRig::Task("r", 0);
  task.inputs = {"10.0.1.1:80/x"};
  rig.Add(task);
  rig.batcher.Dispatch(rig.now);
  rig.Pass(200 * kMs);
  EXPECT_TRUE(rig.read.empty());
}

// What the caller sees: an answer, later. A replica crashes with a call whose
// inputs were let go. Sent again, the pieces would be told that their inputs
// are gone, after a wait in the queue; so the request hears it at once and
// begins its stages again. A slow call is waited for, as it has its inputs.
TEST(PieceBatcherTest, SaysAtOnceThatInputsAreGoneWhenTheirCallBreaks) {
  BatcherRig rig;
  rig.AddReplicas(2);
  const PieceTask task = rig.BeginSoleUser();
  rig.Pass(150 * kMs);
  ASSERT_EQ(rig.read.size(), 1U);
  rig.Pass(kSecond);
  EXPECT_EQ(rig.calls.size(), 1U) << "no copy without inputs";

  rig.batcher.OnCallEnd(rig.now, rig.calls[0].id,
                        {PieceCallEnd::Kind::kBroken, "reset", {}});
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kInputGone);
  EXPECT_EQ(rig.calls.size(), 1U);
}

// What the caller sees: an answer, a call later. Two pieces share their inputs.
// The call of the first breaks after it has read them, and the piece waits for
// the only replica that is left, at work on the second one. That one has read
// them too; they are kept until the first has read them again.
TEST(PieceBatcherTest, KeepsInputsForAPieceThatHasToReadThemAgain) {
  BatcherRig rig;
  rig.AddReplicas(1);
  for (std::uint32_t n = 0; n < 2; ++n) {
    PieceTask task = BatcherRig::Task("r", n);
    task.inputs = {"10.0.1.1:80/x"};
    task.sole_users = 2;
    task.result_bytes = 60;  // One fits a replica.
    rig.Add(task);
  }
  rig.batcher.Dispatch(rig.now);
  rig.Pass(50 * kMs);
  rig.AddReplicas(1);
  rig.Pass(0);
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.Pass(60 * kMs);  // The first has read them.
  rig.batcher.OnCallEnd(rig.now, rig.calls[0].id,
                        {PieceCallEnd::Kind::kBroken, "reset", {}});
  rig.Pass(60 * kMs);  // The second has, too.
  EXPECT_EQ(rig.calls.size(), 2U);
  EXPECT_TRUE(rig.read.empty()) << "the first waits to read them again";
  rig.Make(rig.calls[1]);
  rig.batcher.Free({"10.0.0.2:80/r.1"});  // Frees memory.
  rig.Pass(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 3U);
  rig.Pass(110 * kMs);
  EXPECT_EQ(rig.read.size(), 1U);
}

// What the caller sees: an answer from the first call. A slow call is copied
// before the last piece of the request was begun; then its inputs are let go,
// and the copy finds them gone. That says nothing of the first call.
TEST(PieceBatcherTest, ACopyThatFindsItsInputsGoneEndsNothing) {
  BatcherRig rig;
  rig.AddReplicas(2);
  PieceTask task = BatcherRig::Task("r", 0);
  task.inputs = {"10.0.1.1:80/x"};
  rig.Add(task);
  rig.batcher.Dispatch(rig.now);
  rig.Pass(kSecond);
  ASSERT_EQ(rig.calls.size(), 2U);
  PieceCallEnd end;
  end.kind = PieceCallEnd::Kind::kAnswered;
  end.results.push_back({task.key, PieceOutcome::kInputGone, ""});
  rig.batcher.OnCallEnd(rig.now, rig.calls[1].id, end);
  EXPECT_TRUE(rig.results.empty());
  rig.Make(rig.calls[0]);
  ASSERT_EQ(rig.results.size(), 1U);
  EXPECT_EQ(rig.results[0].outcome, PieceOutcome::kMade);
}

// Load: a long queue, two replicas, and the answer of one call is lost. The
// caller of its piece waits for another making, not for four seconds; callers
// behind it have both replicas, because the one whose answer was lost works on.
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
    rig.Pass(340 * kMs);
    for (const std::size_t open = rig.calls.size(); answered < open;
         ++answered) {
      at_lost += rig.calls[answered].replica == lost.replica ? 1 : 0;
      rig.Make(PieceCall(rig.calls[answered]));
    }
  }
  EXPECT_GE(at_lost, 2U);
  const auto is_lost = [&](const PieceResult& it) {
    return it.key == lost.pieces[0].key;
  };
  EXPECT_EQ(std::count_if(rig.results.begin(), rig.results.end(), is_lost), 1);
}

// Its results lie at the replica until it forgets them: a call that needs their
// memory is not begun before.
TEST(PieceBatcherTest, CountsTheResultsOfALostAnswer) {
  BatcherRig rig;
  rig.AddReplicas(1);
  PieceTask large = BatcherRig::Task("large", 0);
  large.result_bytes = 60;
  rig.Add(large);
  rig.batcher.Dispatch(rig.now);
  ASSERT_EQ(rig.calls.size(), 1U);
  rig.Pass(kSecond);  // Overdue.
  rig.Add(BatcherRig::Task("small", 0));
  rig.Pass(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  rig.Make(PieceCall(rig.calls[1]));
  rig.Pass(100 * kMs);
  EXPECT_EQ(rig.calls.size(), 2U) << "the large one has no room beside itself";
  rig.Pass(4 * kSecond);
  ASSERT_EQ(rig.calls.size(), 3U);
  EXPECT_EQ(rig.calls[2].pieces[0].key.request, "large");
}

// A replica restarts under its name in the middle of a call. Its pieces are
// made by another one at once; the account of its memory begins anew, and the
// new incarnation gets work although the old one's call never ended.
TEST(PieceBatcherTest, MakesPiecesElsewhereWhenTheirReplicaStartsAgain) {
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
  rig.Pass(10 * kMs);
  ASSERT_EQ(rig.calls.size(), 2U);
  EXPECT_EQ(rig.calls[1].replica, ReplicaId("m", 6));
  EXPECT_EQ(rig.calls[1].held_bytes, 1U);
  // An answer of the old incarnation that arrives after all changes nothing.
  rig.Make(rig.calls[0]);
  EXPECT_TRUE(rig.results.empty());
  rig.Make(rig.calls[1]);
  EXPECT_EQ(rig.results.size(), 1U);
}

}  // namespace
}  // namespace acaciachute
