// Demo: sends one request of each kind through a complete deployment on
// loopback and prints what callers receive.
#include <csignal>
#include <iostream>

#include "tests/process/harness.h"

namespace acaciachute {
namespace {

void Print(const std::string& title, const HttpResult& result) {
  std::cout << "\n== " << title << ": HTTP " << result.status << "\n";
  for (const auto& [name, value] : result.headers) {
    if (name.starts_with("Acaciachute") || name == "traceparent") {
      std::cout << name << ": " << value << "\n";
    }
  }
  std::cout << result.body << "\n";
}

int Demo() {
  Deployment deployment(ACACIACHUTE_BIN_DIR,
                        {{"encoders", "encode"},
                         {"retrievers", "retrieve"},
                         {"rerankers", "rerank"},
                         {"generators", "generate", 2}},
                        2);
  if (!deployment.WaitReady()) {
    std::cerr << "demo: the deployment was not ready in time\n";
    return 1;
  }
  bool all_answered = true;
  const auto send = [&](const std::string& title, const HttpRequest& request) {
    const auto result = deployment.Call(request);
    all_answered = all_answered && result.status == 200 && result.ended();
    Print(title, result);
  };
  auto urgent = deployment.EventRequest(0, R"({"stop":17})");
  urgent.headers.emplace_back("Acaciachute-Class", "urgent");
  send("urgent", urgent);
  send("patient", deployment.EventRequest(1, R"({"briefing":"north"})"));
  auto once = deployment.EventRequest(0, R"({"order":"cooler"})");
  once.headers.emplace_back("Acaciachute-Idempotent", "false");
  once.headers.emplace_back("Idempotency-Key", "order-1");
  send("non-idempotent", once);
  auto stream = deployment.EventRequest(1, R"({"draft":"notice"})");
  stream.headers.emplace_back("Accept", "text/event-stream");
  send("streamed", stream);
  Print("spans of entry-0",
        deployment.Get(deployment.entries[0]->url() + "/traces"));
  for (auto& it : deployment.entries) {
    it->Signal(SIGTERM);
  }
  bool clean = true;
  for (auto& it : deployment.entries) {
    clean = it->Wait() == 0 && clean;
  }
  for (auto& [unused, it] : deployment.sidecars) {
    it->Signal(SIGTERM);
    clean = it->Wait() == 0 && clean;
  }
  std::cout << "\nstopped " << (clean ? "gracefully" : "with errors") << "\n";
  return all_answered && clean ? 0 : 1;
}

}  // namespace
}  // namespace acaciachute

int main() {
  return acaciachute::Demo();
}
