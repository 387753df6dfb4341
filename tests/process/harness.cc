#include "tests/process/harness.h"

#include <gio/gio.h>
#include <glib/gstdio.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "protocol/bearer.h"
#include "protocol/caller_http.h"
#include "text.h"
#include "transport/glib_ptr.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr DurationUs kReadyTimeout = 20 * kSecond;
constexpr DurationUs kPollInterval = 10 * kMillisecond;

std::string ReplicaName(const std::string& pool, int n) {
  return StrCat(pool, "-", n);
}

std::string UrlOf(std::uint16_t port) {
  return StrCat("http://127.0.0.1:", port);
}

}  // namespace

struct Process::Impl {
  GPtr<GSubprocess> process;
  Json listening;
};

Process::Process(const std::string& program,
                 const std::vector<std::string>& args)
    : impl_(std::make_unique<Impl>()) {
  std::vector<const char*> argv = {program.c_str()};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  argv.push_back(nullptr);
  GError* error = nullptr;
  impl_->process.reset(
      g_subprocess_newv(argv.data(), G_SUBPROCESS_FLAGS_STDOUT_PIPE, &error));
  const GErrorPtr owned(error);
  if (!impl_->process) {
    throw std::runtime_error(StrCat(program, ": ", error->message));
  }
  const GPtr<GDataInputStream> lines(g_data_input_stream_new(
      g_subprocess_get_stdout_pipe(impl_->process.get())));
  g_filter_input_stream_set_close_base_stream(
      G_FILTER_INPUT_STREAM(lines.get()), FALSE);
  gchar* line =
      g_data_input_stream_read_line(lines.get(), nullptr, nullptr, nullptr);
  impl_->listening = Json::parse(line == nullptr ? "" : line, nullptr, false);
  g_free(line);
  if (!impl_->listening.is_object()) {
    throw std::runtime_error(program +
                             " printed no line with its ports on stdout");
  }
}

Process::~Process() {
  if (Running()) {
    Signal(SIGKILL);
    Wait();
  }
}

ProgramResult RunProgram(const std::string& program,
                         const std::vector<std::string>& args) {
  std::vector<const char*> argv = {program.c_str()};
  for (const auto& it : args) {
    argv.push_back(it.c_str());
  }
  argv.push_back(nullptr);
  const GPtr<GSubprocess> process(g_subprocess_newv(
      argv.data(),
      static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_PIPE |
                                    G_SUBPROCESS_FLAGS_STDERR_PIPE),
      nullptr));
  gchar* output = nullptr;
  gchar* errors = nullptr;
  ProgramResult result;
  if (process && g_subprocess_communicate_utf8(process.get(), nullptr, nullptr,
                                               &output, &errors, nullptr)) {
    result.output = output;
    result.errors = errors;
    result.exit_code = g_subprocess_get_if_exited(process.get())
                           ? g_subprocess_get_exit_status(process.get())
                           : -1;
  }
  g_free(output);
  g_free(errors);
  return result;
}

std::uint16_t Process::http_port() const {
  return impl_->listening.value("http", 0);
}

std::uint16_t Process::frame_port() const {
  return impl_->listening.value("frames", 0);
}

std::string Process::url() const {
  return UrlOf(http_port());
}

int Process::pid() const {
  const gchar* id = g_subprocess_get_identifier(impl_->process.get());
  return id == nullptr ? 0 : std::stoi(id);
}

void Process::Signal(int signal) {
  g_subprocess_send_signal(impl_->process.get(), signal);
}

bool Process::Running() const {
  return g_subprocess_get_identifier(impl_->process.get()) != nullptr;
}

int Process::Wait() {
  g_subprocess_wait(impl_->process.get(), nullptr, nullptr);
  return g_subprocess_get_if_exited(impl_->process.get())
             ? g_subprocess_get_exit_status(impl_->process.get())
             : -1;
}

Deployment::Deployment(std::string bin,
                       std::vector<PoolSpec> pools,
                       int entry_count,
                       bool relays)
    : bin_dir(std::move(bin)),
      pools_(std::move(pools)),
      relays_(relays),
      client_(0) {
  gchar* dir = g_dir_make_tmp("acaciachute-XXXXXX", nullptr);
  dir_ = dir;
  g_free(dir);
  platform = std::make_unique<Process>(bin_dir + "/tests/standin-platform",
                                       std::vector<std::string>{});
  if (relays_) {
    platform_link = std::make_unique<Relay>(platform->http_port());
  }
  for (const auto& pool : pools_) {
    for (int n = 1; n <= pool.replicas; ++n) {
      const std::string node = ReplicaName(pool.name, n);
      upstreams[node] = std::make_unique<Process>(
          bin_dir + "/tests/standin-upstream",
          std::vector<std::string>{"--kind", pool.kind, "--name", node,
                                   "--service-ms", StrCat(pool.service_ms),
                                   "--slots", StrCat(pool.slots)});
      slots_[node].pool = pool.name;
      if (relays_) {
        upstream_links[node] =
            std::make_unique<Relay>(upstreams[node]->http_port());
      }
      StartSidecar(node);
      if (relays_) {
        sidecar_links[node] = std::make_unique<Relay>(slots_[node].port);
      }
    }
  }
  WriteSettings();
  entries.resize(entry_count);
  for (int n = 0; n < entry_count; ++n) {
    StartEntry(n);
  }
}

Deployment::~Deployment() {
  entries.clear();
  sidecars.clear();
  upstreams.clear();
  platform.reset();
  for (const auto& [node, unused] : slots_) {
    g_remove(StrCat(dir_, "/", node, ".json").c_str());
  }
  for (std::size_t n = 0; n < entries.capacity(); ++n) {
    g_remove(StrCat(dir_, "/entry-", n, ".json").c_str());
  }
  g_rmdir(dir_.c_str());
}

std::string Deployment::WriteNodeFile(const std::string& node,
                                      const std::string& json) {
  std::string path = StrCat(dir_, "/", node, ".json");
  std::ofstream(path) << json;
  return path;
}

void Deployment::StartSidecar(const std::string& node) {
  Slot& slot = slots_[node];
  int limit = 4;
  for (const auto& pool : pools_) {
    limit = pool.name == slot.pool ? pool.slots : limit;
  }
  const std::string upstream_url =
      relays_ ? UrlOf(upstream_links[node]->port()) : upstreams[node]->url();
  const Json json = {
      {"role", "sidecar"},
      {"node", node},
      {"frame_key", Deployment::kFrameKey},
      {"listen", {{"ip", "127.0.0.1"}, {"port", slot.port}}},
      {"http", {{"ip", "127.0.0.1"}, {"port", 0}}},
      {"platform", {{"url", platform->url()}}},
      {"upstream",
       {{"url", upstream_url}, {"pool", slot.pool}, {"limit", limit}}}};
  const std::vector<std::string> args = {"--settings",
                                         WriteNodeFile(node, json.dump())};
  const auto start = [&] {
    sidecars[node] = std::make_unique<Process>(bin_dir + "/acaciachuted", args);
  };
  if (slot.port == 0) {
    start();
    slot.port = sidecars[node]->frame_port();
    return;
  }
  // While a restarting sidecar is down, the kernel may assign its port to an
  // outgoing connection for a short time, so the start is retried, as a
  // supervisor would do.
  const bool started = WaitFor(
      [&] {
        try {
          start();
          return true;
        } catch (const std::runtime_error&) {
          return false;
        }
      },
      kReadyTimeout);
  if (!started) {
    throw std::runtime_error(node + " did not restart in time");
  }
}

void Deployment::StartEntry(int n) {
  const std::string node = StrCat("entry-", n);
  const std::string platform_url =
      relays_ && n == 0 ? UrlOf(platform_link->port()) : platform->url();
  const Json json = {{"role", "entry"},
                     {"node", node},
                     {"frame_key", Deployment::kFrameKey},
                     {"listen", {{"ip", "127.0.0.1"}, {"port", 0}}},
                     {"http", {{"ip", "127.0.0.1"}, {"port", 0}}},
                     {"platform", {{"url", platform_url}}}};
  entries[n] = std::make_unique<Process>(
      bin_dir + "/acaciachuted",
      std::vector<std::string>{"--settings", WriteNodeFile(node, json.dump())});
}

void Deployment::WriteSettings() {
  Json pools = Json::object();
  Json stages = Json::array();
  for (const auto& pool : pools_) {
    Json replicas = Json::array();
    for (const auto& [node, slot] : slots_) {
      if (slot.pool == pool.name) {
        const auto port = relays_ ? sidecar_links[node]->port() : slot.port;
        replicas.push_back({{"node", node},
                            {"ip", "127.0.0.1"},
                            {"port", port},
                            {"failure_domain", "hall-a"}});
      }
    }
    pools[pool.name] = {{"kind", pool.kind}, {"replicas", replicas}};
    stages.push_back({{"pool", pool.name}, {"path", "/v1/run"}});
  }
  const Json branch = {
      {"owner", "platform"},
      {"pools", pools},
      {"accounts",
       {{"office",
         {{"token_salt", "s1"}, {"token_hash", TokenHash("s1", kToken)}}}}},
      {"events",
       {{"round",
         {{"max_deadline_ms", 5000},
          {"stages", stages},
          {"accounts", {"office"}}}}}}};
  const Json write = {{"ops",
                       {{{"op", "insert"},
                         {"key", "settings/platform"},
                         {"value", branch.dump()}}}}};
  if (Post(platform->url() + "/v1/table/transact", write.dump()).status !=
      200) {
    throw std::runtime_error(
        "the platform did not accept the settings of the deployment");
  }
}

HttpResult Deployment::Call(const HttpRequest& request) {
  HttpResult out;
  client_.Call(request, [&](const HttpResult& result) {
    out = result;
    loop_.Quit();
  });
  loop_.Run();
  return out;
}

StartedCallPtr Deployment::Start(const HttpRequest& request) {
  auto call = std::make_shared<StartedCall>();
  client_.Call(request, [call](const HttpResult& result) {
    call->result = result;
    call->done = true;
  });
  return call;
}

bool Deployment::WaitDone(const std::vector<StartedCallPtr>& calls,
                          DurationUs timeout) {
  return WaitFor(
      [&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const auto& it) { return it->done; });
      },
      timeout);
}

HttpResult Deployment::Get(const std::string& url) {
  HttpRequest request;
  request.url = url;
  return Call(request);
}

HttpResult Deployment::Post(const std::string& url, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.url = url;
  request.body = body;
  return Call(request);
}

void Deployment::InjectFaults(const Process& standin, const std::string& json) {
  if (Post(standin.url() + "/faults", json).status != 200) {
    throw std::runtime_error("the stand-in did not accept the faults " + json);
  }
}

HttpRequest Deployment::EventRequest(int entry, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.url = entries[entry]->url() + "/v1/events/round/requests";
  request.body = body;
  request.headers = {{"Authorization", StrCat("Bearer ", kToken)}};
  return request;
}

bool Deployment::WaitFor(const std::function<bool()>& condition,
                         DurationUs timeout) {
  const TimeUs end = Loop::Now() + timeout;
  while (!condition()) {
    if (Loop::Now() >= end) {
      return false;
    }
    loop_.After(kPollInterval, [this] { loop_.Quit(); });
    loop_.Run();
  }
  return true;
}

bool Deployment::WaitReady() {
  return WaitFor(
      [this] {
        for (const auto& entry : entries) {
          const auto status = Get(entry->url() + "/status");
          const Json in = Json::parse(status.body, nullptr, false);
          if (!in.is_object() || in["replicas"].size() != slots_.size()) {
            return false;
          }
          for (const auto& it : in["replicas"]) {
            if (it["state"] != "ready") {
              return false;
            }
          }
        }
        return true;
      },
      kReadyTimeout);
}

int Deployment::RunsOf(const std::string& text) {
  int runs = 0;
  for (const auto& [unused, upstream] : upstreams) {
    const auto result = Get(upstream->url() + "/runs");
    const Json log = Json::parse(result.body, nullptr, false);
    for (const auto& it : log) {
      const bool hit =
          it["body"].get<std::string>().find(text) != std::string::npos;
      runs += hit ? 1 : 0;
    }
  }
  return runs;
}

}  // namespace acaciachute
