// Stand-in for an upstream: a model engine, encoder, retriever, reranker or
// plain service with a fixed number of slots and a fixed service time. It logs
// every run (GET /runs), so that failure tests can count runs. docs/PLATFORM.md
// describes the protocol; POST /faults sets faults.
#include <unistd.h>

#include <array>
#include <csignal>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "text.h"
#include "transport/http_server.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr int kStreamParts = 4;
constexpr int kCrashExitCode = 9;

// Fault of the answer to a request whose body contains `fault_on`.
enum class AnswerFault { kNone, kCut, kLate, kDoubled, kForeign, kNoJson };
constexpr std::array<std::string_view, 6> kAnswerFaultNames = {
    "none", "cut", "late", "doubled", "foreign", "no_json"};

struct Config {
  std::string kind;
  std::string name;
  std::uint32_t slots = 4;
  std::int64_t service_ms = 5;
  std::string crash_on;  // A run whose body contains this ends the process.
  bool leaving = false;
  AnswerFault fault = AnswerFault::kNone;
  std::string fault_on;
  std::int64_t late_ms = 0;         // Delay of answers with AnswerFault::kLate.
  int stream_parts = kStreamParts;  // Fewer than all: cut after this many.
  bool keeps_fence = true;          // False: ignores fencing numbers.
};

struct Run {
  std::string id;
  std::string body;
  std::string traceparent;
  bool stream = false;
};

class Upstream : public HttpHandler {
 public:
  Upstream(Config config, Loop* loop)
      : config_(std::move(config)), loop_(loop), server_(this) {}

  int Start(std::uint16_t port) {
    const auto status = server_.Listen({"127.0.0.1", port});
    if (!status.ok()) {
      std::cerr << status.message() << "\n";
      return 1;
    }
    std::cout << Json{{"listening", config_.name}, {"http", server_.port()}}
              << std::endl;
    return 0;
  }

  void OnHttpRequest(std::uint64_t handle,
                     const HttpHead& head,
                     std::string_view body) override {
    if (head.path == "/v1/load") {
      Reply(handle, 200,
            {{"state", config_.leaving ? "leaving" : "ready"},
             {"queued", queued_.size()},
             {"in_progress", running_},
             {"limit", config_.slots},
             {"instance", StrCat(getpid(), "-", started_at_)}});
    } else if (head.path == "/v1/cancel") {
      Cancel(handle, body);
    } else if (head.path == "/v1/orders") {
      ExecuteOrder(handle, body);
    } else if (head.path == "/v1/fence" && config_.keeps_fence) {
      Reply(handle, 200, {{"fence", fence_}});
    } else if (head.path == "/orders") {
      Reply(handle, 200, orders_);
    } else if (head.path == "/faults") {
      SetFaults(handle, body);
    } else if (head.path == "/runs") {
      Reply(handle, 200, runs_);
    } else if (head.method == "POST") {
      Accept(handle, head, body);
    } else {
      Reply(handle, 404, {{"error", "no such path"}});
    }
  }
  void OnHttpDisconnected(std::uint64_t handle) override { DropCall(handle); }

 private:
  void Reply(std::uint64_t handle, int status, const Json& json) {
    HttpReply reply;
    reply.status = status;
    reply.body = json.dump();
    server_.Reply(handle, reply);
  }

  void SetFaults(std::uint64_t handle, std::string_view body) {
    const Json in = Json::parse(body, nullptr, false);
    if (!in.is_object()) {
      Reply(handle, 400, {{"error", "no JSON object"}});
      return;
    }
    config_.crash_on = in.value("crash_on", config_.crash_on);
    config_.leaving = in.value("leaving", config_.leaving);
    config_.service_ms = in.value("service_ms", config_.service_ms);
    const auto fault = detail::ValueIn<AnswerFault>(
        kAnswerFaultNames, in.value("answer", std::string("none")));
    config_.fault = fault.value_or(AnswerFault::kNone);
    config_.fault_on = in.value("fault_on", config_.fault_on);
    config_.late_ms = in.value("late_ms", config_.late_ms);
    config_.stream_parts = in.value("stream_parts", config_.stream_parts);
    config_.keeps_fence = in.value("keeps_fence", config_.keeps_fence);
    Reply(handle, 200, Json::object());
  }

  void Cancel(std::uint64_t handle, std::string_view body) {
    const Json in = Json::parse(body, nullptr, false);
    const std::string id = in.is_object() ? in.value("id", "") : "";
    for (const auto& [key, run] : calls_) {
      if (run.id == id) {
        DropCall(key);
        break;
      }
    }
    Reply(handle, 200, Json::object());
  }

  void DropCall(std::uint64_t handle) {
    std::erase(queued_, handle);
    calls_.erase(handle);
  }

  void Accept(std::uint64_t handle,
              const HttpHead& head,
              std::string_view body) {
    Run run;
    run.id = head.header("X-Request-Id").value_or("");
    run.body = body;
    run.traceparent = head.header("traceparent").value_or("");
    run.stream = Contains(head.header("Accept").value_or(""), "event-stream");
    calls_[handle] = std::move(run);
    queued_.push_back(handle);
    StartQueuedRuns();
  }

  void StartQueuedRuns() {
    while (running_ < config_.slots && !queued_.empty()) {
      const std::uint64_t handle = queued_.front();
      queued_.pop_front();
      const Run& run = calls_[handle];
      runs_.push_back({{"id", run.id},
                       {"body", run.body},
                       {"traceparent", run.traceparent}});
      if (!config_.crash_on.empty() && Contains(run.body, config_.crash_on)) {
        _exit(kCrashExitCode);
      }
      ++running_;
      loop_->After(config_.service_ms * kMillisecond,
                   [this, handle] { Finish(handle); });
    }
  }

  AnswerFault FaultOf(const Run& run) const {
    return Contains(run.body, config_.fault_on) ? config_.fault
                                                : AnswerFault::kNone;
  }

  void Finish(std::uint64_t handle) {
    --running_;
    const auto it = calls_.find(handle);
    if (it != calls_.end()) {
      const Run run = std::move(it->second);
      calls_.erase(it);
      if (FaultOf(run) == AnswerFault::kLate) {
        loop_->After(config_.late_ms * kMillisecond,
                     [this, handle, run] { Answer(handle, run); });
      } else {
        Answer(handle, run);
      }
    }
    StartQueuedRuns();
  }

  void Answer(std::uint64_t handle, const Run& run) {
    const AnswerFault fault = FaultOf(run);
    const std::string id =
        fault == AnswerFault::kForeign ? "another-request" : run.id;
    if (run.stream) {
      AnswerStream(handle, id);
      return;
    }
    const std::string complete_body = Json{
        {"stage", config_.kind},
        {"by", config_.name},
        {"input", Json::parse(run.body, nullptr,
                              false)}}.dump();
    if (fault == AnswerFault::kCut) {
      server_.SetHeader(handle, "X-Request-Id", id);
      server_.StreamPart(handle,
                         complete_body.substr(0, complete_body.size() / 2));
      // Drops the connection only after the part has been sent; dropped at
      // once, it would send nothing.
      loop_->After(kMillisecond, [this, handle] { server_.Drop(handle); });
      return;
    }
    HttpReply reply;
    reply.headers.emplace_back("X-Request-Id", id);
    reply.body = fault == AnswerFault::kDoubled  ? complete_body + complete_body
                 : fault == AnswerFault::kNoJson ? "no JSON"
                                                 : complete_body;
    server_.Reply(handle, reply);
  }

  void AnswerStream(std::uint64_t handle, const std::string& id) {
    server_.SetHeader(handle, "X-Request-Id", id);
    for (int n = 0; n < config_.stream_parts; ++n) {
      server_.StreamPart(handle, FormatStreamPart(StrCat("part", n, " ")));
    }
    if (config_.stream_parts >= kStreamParts) {
      server_.StreamEnd(handle, "event: end\n\n");
      return;
    }
    loop_->After(kMillisecond, [this, handle] { server_.Drop(handle); });
  }

  // Executes a control order. With `keeps_fence` it refuses an order with an
  // older fencing number and answers a repeated order id without executing it
  // again; otherwise it executes every order.
  void ExecuteOrder(std::uint64_t handle, std::string_view body) {
    const Json order = Json::parse(body, nullptr, false);
    if (!order.is_object()) {
      Reply(handle, 400, {{"error", "no JSON object"}});
      return;
    }
    const auto number = order.value("fence", std::uint64_t{0});
    if (config_.keeps_fence && number < fence_) {
      Reply(handle, 409, {{"fence", fence_}});
      return;
    }
    fence_ = std::max(fence_, number);
    const auto id = order.value("order_id", "");
    if (!config_.keeps_fence || order_ids_.insert(id).second) {
      orders_.push_back(order);
      config_.leaving = config_.leaving || order.value("kind", "") == "leave";
    }
    Reply(handle, 200, {{"fence", fence_}});
  }

  const TimeUs started_at_ = Loop::Now();
  Config config_;
  Loop* const loop_;
  HttpServer server_;
  std::uint32_t running_ = 0;           // Occupied slots.
  std::map<std::uint64_t, Run> calls_;  // Queued or running, by handle.
  std::deque<std::uint64_t> queued_;    // Handles of queued calls.
  Json runs_ = Json::array();
  std::uint64_t fence_ = 0;  // Highest fencing number seen.
  std::set<std::string> order_ids_;
  Json orders_ = Json::array();  // Executed control orders.
};

int Main(int argc, char** argv) {
  cxxopts::Options options("standin-upstream", "Stand-in upstream for tests.");
  options.add_options()("port", "HTTP port, 0 lets the system choose",
                        cxxopts::value<std::uint16_t>()->default_value("0"))(
      "kind", "encode, retrieve, rerank, generate or service",
      cxxopts::value<std::string>()->default_value("service"))(
      "name", "Name of this upstream in its answers",
      cxxopts::value<std::string>()->default_value("upstream"))(
      "slots", "Maximum number of concurrent runs",
      cxxopts::value<std::uint32_t>()->default_value("4"))(
      "service-ms", "Duration of one run in milliseconds",
      cxxopts::value<std::int64_t>()->default_value("5"));
  const auto args = options.parse(argc, argv);
  Config config;
  config.kind = args["kind"].as<std::string>();
  config.name = args["name"].as<std::string>();
  config.slots = args["slots"].as<std::uint32_t>();
  config.service_ms = args["service-ms"].as<std::int64_t>();
  Loop loop;
  Upstream upstream(std::move(config), &loop);
  if (upstream.Start(args["port"].as<std::uint16_t>()) != 0) {
    return 1;
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Quit(); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace acaciachute

int main(int argc, char** argv) {
  return acaciachute::Main(argc, argv);
}
