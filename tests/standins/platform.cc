// Stand-in for the platform: a transactional table, an object store and the
// host list, in memory, over HTTP. docs/PLATFORM.md describes the protocol.
// POST /faults sets faults. The platform's real host list lags behind the
// hosts; here it is always empty.
#include <glog/logging.h>

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "text.h"
#include "transport/http_server.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

struct Row {
  std::string value;
  std::uint64_t version = 0;
};

struct Faults {
  bool down = false;              // Answer 503 without any effect.
  std::int64_t delay_ms = 0;      // Delay before a request takes effect.
  std::int64_t lose_answers = 0;  // Apply this many writes without an answer.
  bool skip_conditions = false;   // Apply writes whose conditions fail.
};

class Platform : public HttpHandler {
 public:
  explicit Platform(Loop* loop) : loop_(loop), server_(this) {}

  int Start(std::uint16_t port) {
    const auto status = server_.Listen({"127.0.0.1", port});
    if (!status.ok()) {
      std::cerr << status.message() << "\n";
      return 1;
    }
    std::cout << Json{{"listening", "platform"}, {"http", server_.port()}}
              << std::endl;
    return 0;
  }

  void OnHttpRequest(std::uint64_t handle,
                     const HttpHead& head,
                     std::string_view body) override {
    const std::string path = head.path;
    const std::string method = head.method;
    const std::string text(body);
    if (path == "/faults") {
      SetFaults(handle, text);
      return;
    }
    if (path == "/rows") {
      ReplyAllRows(handle);
      return;
    }
    if (faults_.down) {
      Reply(handle, 503, {{"error", "down"}});
      return;
    }
    if (faults_.delay_ms > 0) {
      loop_->After(faults_.delay_ms * kMillisecond,
                   [this, handle, path, method, text] {
                     Serve(handle, method, path, text);
                   });
      return;
    }
    Serve(handle, method, path, text);
  }
  void OnHttpDisconnected(std::uint64_t handle) override {}

 private:
  void Reply(std::uint64_t handle, int status, const Json& json) {
    HttpReply reply;
    reply.status = status;
    reply.body = json.dump();
    server_.Reply(handle, reply);
  }

  void SetFaults(std::uint64_t handle, const std::string& text) {
    const Json in = Json::parse(text, nullptr, false);
    if (!in.is_object()) {
      Reply(handle, 400, {{"error", "no JSON object"}});
      return;
    }
    faults_.down = in.value("down", faults_.down);
    faults_.delay_ms = in.value("delay_ms", faults_.delay_ms);
    faults_.lose_answers = in.value("lose_answers", faults_.lose_answers);
    faults_.skip_conditions =
        in.value("skip_conditions", faults_.skip_conditions);
    Reply(handle, 200, Json::object());
  }

  // Answers with all rows of the table. For tests, so faults do not apply.
  void ReplyAllRows(std::uint64_t handle) {
    Json rows = Json::object();
    for (const auto& [key, row] : table_) {
      rows[key] = {{"value", row.value}, {"version", row.version}};
    }
    Reply(handle, 200, rows);
  }

  void Serve(std::uint64_t handle,
             const std::string& method,
             const std::string& path,
             const std::string& text) {
    if (path == "/v1/table/transact") {
      Transact(handle, text);
    } else if (path.starts_with("/v1/objects/")) {
      ServeObject(handle, method, path, text);
    } else if (path == "/v1/hosts") {
      Reply(handle, 200, {{"hosts", hosts_}});
    } else {
      Reply(handle, 404, {{"error", "no such path"}});
    }
  }

  void ServeObject(std::uint64_t handle,
                   const std::string& method,
                   const std::string& path,
                   const std::string& text) {
    if (method == "PUT") {
      objects_[path] = text;
      Reply(handle, 200, Json::object());
      return;
    }
    const auto it = objects_.find(path);
    if (it == objects_.end()) {
      Reply(handle, 404, {{"error", "no such object"}});
      return;
    }
    HttpReply reply;
    reply.body = it->second;
    server_.Reply(handle, reply);
  }

  Json RowJson(const std::string& key) const {
    const auto it = table_.find(key);
    if (it == table_.end()) {
      return {{"key", key}, {"value", ""}, {"version", 0}};
    }
    return {{"key", key},
            {"value", it->second.value},
            {"version", it->second.version}};
  }

  // Whether the condition of `op` on the version of its row holds.
  bool ConditionHolds(const Json& op) const {
    if (faults_.skip_conditions) {
      return true;
    }
    const auto it = table_.find(op.at("key").get<std::string>());
    const std::uint64_t version = it == table_.end() ? 0 : it->second.version;
    if (op.at("op") == "insert") {
      return version == 0;
    }
    return op.at("op") != "update" ||
           (version != 0 && version == op.at("version").get<std::uint64_t>());
  }

  void Apply(const Json& op, Json* rows) {
    const auto key = op.at("key").get<std::string>();
    if (op.at("op") == "scan") {
      for (auto it = table_.lower_bound(key);
           it != table_.end() && it->first.starts_with(key); ++it) {
        rows->push_back(RowJson(it->first));
      }
      return;
    }
    if (op.at("op") != "read") {
      Row& row = table_[key];
      row.value = op.at("value").get<std::string>();
      ++row.version;
    }
    rows->push_back(RowJson(key));
  }

  void Transact(std::uint64_t handle, const std::string& text) {
    const Json in = Json::parse(text, nullptr, false);
    Json rows = Json::array();
    try {
      for (const auto& op : in.at("ops")) {
        if (!ConditionHolds(op)) {
          rows.push_back(RowJson(op.at("key").get<std::string>()));
        }
      }
      if (!rows.empty()) {
        Reply(handle, 409, {{"status", "conflict"}, {"rows", rows}});
        return;
      }
      bool writes = false;
      for (const auto& op : in.at("ops")) {
        Apply(op, &rows);
        writes = writes || op.at("op") == "insert" || op.at("op") == "update";
      }
      if (writes && faults_.lose_answers > 0) {
        --faults_.lose_answers;
        server_.Drop(handle);
        return;
      }
      Reply(handle, 200, {{"status", "ok"}, {"rows", rows}});
    } catch (const Json::exception& e) {
      Reply(handle, 400, {{"error", e.what()}});
    }
  }

  Loop* const loop_;
  HttpServer server_;
  Faults faults_;
  std::map<std::string, Row> table_;
  std::map<std::string, std::string> objects_;
  Json hosts_ = Json::array();
};

int Main(int argc, char** argv) {
  cxxopts::Options options("standin-platform", "Stand-in platform for tests.");
  options.add_options()("port", "HTTP port, 0 lets the system choose",
                        cxxopts::value<std::uint16_t>()->default_value("0"));
  const auto args = options.parse(argc, argv);
  Loop loop;
  Platform platform(&loop);
  if (platform.Start(args["port"].as<std::uint16_t>()) != 0) {
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
