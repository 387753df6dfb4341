// Stand-in for one replica of a plain service, of a pipeline stage or of a
// model engine.
#ifndef ACACIACHUTE_TESTS_SOAK_STANDIN_REPLICA_H_
#define ACACIACHUTE_TESTS_SOAK_STANDIN_REPLICA_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state/random.h"
#include "tests/soak/answer_writer.h"
#include "tests/soak/ledger.h"
#include "tests/soak/loopback.h"
#include "tests/soak/raw_listener.h"
#include "transport/loop.h"

namespace acaciachute {

// Kind of a replica and its timing.
struct ReplicaWork {
  enum class Kind { kPlain, kStage, kEngine };
  Kind kind = Kind::kPlain;
  // Time per answer or stage call; of an engine, until the first event.
  DurationUs service_time = 0;
  DurationUs event_interval = 0;  // Interval between events of a stream.
  int events = 0;                 // Per stream.
  // Of an engine without stages: requests that run at once, the others wait.
  // Its plain answers take as long as its streams.
  std::size_t slots = 0;
};

// What a faulty replica does with requests and calls instead of serving them.
enum class ReplicaFault {
  kNone,
  kRefuse,      // 503: full; not run.
  kTooMany,     // 429: not run.
  kLate,        // 408: not run.
  kReset,       // Runs the request and closes the connection without answer.
  kSilent,      // Runs the request and never answers.
  kInputsGone,  // 409: a result is gone; not run. Engines only.
  kFail,        // Runs the request and answers 500.
};

class StandinReplica : public ListenerHandler {
 public:
  StandinReplica(Loop* loop,
                 std::string id,
                 std::string service,
                 const ReplicaWork& work,
                 Ledger* ledger,
                 const Address& address = FreeAddress());

  // Draws the framing of each answer (or always uses `framing`), and how it is
  // broken off, from `seed`. Otherwise plain answers have a length, streams
  // chunks, and both are whole unless the replica crashes.
  void DrawAnswers(std::uint64_t seed, std::optional<AnswerEnd> framing) {
    random_.emplace(seed);
    framing_ = framing;
  }
  // Sends one in `period` answers once more, late; zero: none.
  void SetLateCopies(int period) { listener_.SetLateCopies(period); }
  // Breaks `percent` of the answers off; only if answers are drawn.
  void SetCutPercent(int percent) { cut_percent_ = percent; }

  // Sets faults: the next `n` answers are lost after their runs; all work takes
  // `factor` times as long.
  void LoseNextAnswers(int n) { answers_to_lose_ = n; }
  void SetSlowdownFactor(int factor) { slowdown_factor_ = factor; }
  // States this limit on its load in all answers; empty: none.
  void SetRateLimit(std::string limit) { rate_limit_ = std::move(limit); }
  // States in all answers that it leaves.
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  // When the first such answer was made.
  std::optional<TimeUs> first_stated_leaving_at() const {
    return first_stated_leaving_at_;
  }
  // Turns all requests and calls away and asks for this rest, in seconds;
  // empty: serves.
  void SetRest(std::string rest) { rest_ = std::move(rest); }
  // Times at which requests and calls were turned away so.
  const std::vector<TimeUs>& refusals() const { return refusals_; }
  // Times at which requests and calls with pieces arrived.
  const std::vector<TimeUs>& arrivals() const { return arrivals_; }
  // Treats `percent` of the requests and calls so until further notice.
  void SetFault(ReplicaFault fault, int percent) {
    fault_ = fault;
    fault_percent_ = percent;
  }
  // Simulates a crash and restart: breaks every connection, drops all work, and
  // continues as the incarnation `id`.
  void Crash(std::string id);
  // A request whose body begins with `kCrashingBody` ends the process that runs
  // it: `on_crash` is called with the body, soon after the run begins, or, if
  // the body goes on with `kInStream`, after the first event of its stream.
  static constexpr std::string_view kCrashingBody = "crash";
  static constexpr std::string_view kInStream = "-in-stream";
  // If it goes on with this, the process hangs; see `World::kSilentTime`.
  static constexpr std::string_view kSilent = "-silent";
  using CrashHandler = std::function<void(const std::string& key, bool resets)>;
  void SetCrashHandler(CrashHandler on_crash) {
    on_crash_ = std::move(on_crash);
  }
  // A request whose prompt has this part, but as its last one, ends the process
  // that begins to write an answer to it: at once or after a head, and its
  // connections are closed or reset in turn. The handler gets `PartKey`.
  void AddCrashingPart(const std::string& part) {
    crashing_parts_.insert(part);
  }
  static std::string PartKey(const std::string& part) {
    return std::string(CrashJudge::kPartPrefix) + part;
  }
  // The process hangs: it does no more work and answers nothing, and its
  // connections stay open until `GoDown`.
  void FallSilent();
  // The process ends: connections are refused until it starts again as `id`.
  void GoDown(bool resets = false);
  void ComeBack(std::string id);
  bool down() const { return !listener_.listening(); }
  // The n-th event of an engine's stream.
  static std::string EventText(const std::string& attempt, int n);
  const std::string& id() const { return id_; }
  const std::string& service() const { return service_; }
  ReplicaWork::Kind kind() const { return work_.kind; }
  const Address& address() const { return address_; }

  // ListenerHandler:
  void OnRequest(ExchangeId id,
                 HttpRequestHead head,
                 std::string body) override;
  void OnClientDisconnected(ExchangeId id) override {
    open_.erase(id);
    streams_.erase(id);
    EndRun(id);
  }
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

 private:
  // A stage call that waits for its turn.
  struct StageCall {
    ExchangeId id = 0;
    std::string name;  // Repeated in the answer, if it has one.
    std::string body;
  };

  // Draws the framing, instead of `usual`, and the cut of an answer.
  AnswerPlan DrawPlan(AnswerEnd usual,
                      int status,
                      const HttpFields& fields,
                      const std::vector<std::string>& parts);
  // Sends an answer at once.
  void Reply(ExchangeId id,
             int status,
             const HttpFields& fields,
             const std::string& body = "");
  // Reports to the ledger if the answer was broken off and looks complete.
  void ReportEnd(const std::string& attempt,
                 const AnswerWriter& answer,
                 bool stream);
  // `fields` with those that all answers of this replica have.
  HttpFields FieldsOf(HttpFields fields);
  // Whether this kind of replica knows the call of the system's own.
  bool KnowsCall(const HttpRequestHead& head) const;
  // Reports a call of the system's own that could be taken for a request, here
  // or at a process of another kind.
  void JudgeOwnCall(const HttpRequestHead& head);
  void AnswerOwnCall(ExchangeId id, const HttpRequestHead& head);
  // Reports what arrived to the ledger: a request, or each piece of a call.
  void ReportArrival(const HttpRequestHead& head, const std::string& body);
  // Whether the request was treated according to the fault that was set.
  bool ApplyFault(ExchangeId id,
                  const HttpRequestHead& head,
                  const std::string& attempt);
  void Serve(ExchangeId id, const HttpRequestHead& head);
  // Ends this process because of the request, if its body says so.
  void CrashSoon(const std::string& body);
  // Returns the part of the request's prompt that ends this process; empty:
  // none.
  std::string CrashingPart(const HttpRequestHead& head) const;
  // A request to an engine with slots.
  struct Run {
    ExchangeId id = 0;
    std::string attempt;
    std::string account;
    int next = 0;        // The first event of its stream.
    bool plain = false;  // Its answer is no stream.
    std::string crashing_part;
  };
  void BeginRuns();
  void BeginAnswer(const Run& run);
  void EndRun(ExchangeId id);
  void CrashOn(const Run& run);
  void BeginStream(ExchangeId id, const std::string& attempt, int next);
  void SendEvent(ExchangeId id, int next);
  void BeginStageCall();
  void EndStageCall(const StageCall& call);
  void After(DurationUs delay, std::function<void()> task);

  Loop* const loop_;
  std::string id_;
  const std::string service_;
  const ReplicaWork work_;
  Ledger* const ledger_;
  const Address address_;
  RawListener listener_;
  std::set<ExchangeId> open_;
  // Streams that were begun.
  struct Stream {
    std::string attempt;
    AnswerWriter answer;
  };
  std::map<ExchangeId, Stream> streams_;
  std::optional<Random> random_;
  std::optional<AnswerEnd> framing_;  // Of all answers.
  int cut_percent_ = 0;
  std::deque<StageCall> calls_;
  std::deque<Run> waiting_;
  std::set<ExchangeId> running_;
  std::set<std::string> crashing_parts_;
  int crashes_ = 0;
  std::string rate_limit_;
  bool leaving_ = false;
  std::optional<TimeUs> first_stated_leaving_at_;
  std::string rest_;
  std::vector<TimeUs> refusals_;
  std::vector<TimeUs> arrivals_;
  CrashHandler on_crash_;
  int next_result_ = 0;
  int answers_to_lose_ = 0;
  int slowdown_factor_ = 1;
  ReplicaFault fault_ = ReplicaFault::kNone;
  int fault_percent_ = 0;
  int fault_draw_ = 0;
  bool busy_ = false;
  bool silent_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_STANDIN_REPLICA_H_
