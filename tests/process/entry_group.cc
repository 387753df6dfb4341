#include "tests/process/entry_group.h"

#include <glib/gstdio.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/settings/settings_write.h"
#include "protocol/platform_codec.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr char kFrameKey[] = "0123456789abcdef0123456789abcdef";
constexpr DurationUs kCallTimeout = 10 * kSecond;
constexpr DurationUs kPollInterval = 10 * kMillisecond;

std::string NodeName(std::size_t n) {
  return StrCat("entry-", n);
}

std::string ReplicaName(std::size_t n) {
  return StrCat("generators-", n);
}

}  // namespace

EntryGroup::EntryGroup(std::string bin_dir, int count)
    : bin_dir_(std::move(bin_dir)), client_(kCallTimeout) {
  gchar* dir = g_dir_make_tmp("acaciachute-XXXXXX", nullptr);
  dir_ = dir;
  g_free(dir);
  platform = std::make_unique<Process>(bin_dir_ + "/tests/standin-platform",
                                       std::vector<std::string>{});
  entries.resize(count);
  ports_.resize(count, 0);
  for (int n = 0; n < count; ++n) {
    StartEntry(n);
  }
  Change();
}

EntryGroup::~EntryGroup() {
  sidecars.clear();
  for (std::size_t n = 0; n < upstreams.size(); ++n) {
    g_remove(StrCat(dir_, "/", ReplicaName(n), ".json").c_str());
  }
  for (std::size_t n = 0; n < entries.size(); ++n) {
    g_remove(StrCat(dir_, "/", NodeName(n), ".json").c_str());
  }
  g_rmdir(dir_.c_str());
}

void EntryGroup::StartEntry(int n) {
  Json peers = Json::array();
  for (std::size_t it = 0; it < ports_.size(); ++it) {
    if (ports_[it] != 0 && it != static_cast<std::size_t>(n)) {
      peers.push_back(
          {{"node", NodeName(it)}, {"ip", "127.0.0.1"}, {"port", ports_[it]}});
    }
  }
  const Json json = {{"role", "entry"},
                     {"node", NodeName(n)},
                     {"frame_key", kFrameKey},
                     {"listen", {{"ip", "127.0.0.1"}, {"port", ports_[n]}}},
                     {"http", {{"ip", "127.0.0.1"}, {"port", 0}}},
                     {"peers", peers},
                     {"platform", {{"url", platform->url()}}}};
  const std::string path = StrCat(dir_, "/", NodeName(n), ".json");
  std::ofstream(path) << json.dump();
  entries[n] = std::make_unique<Process>(
      bin_dir_ + "/acaciachuted", std::vector<std::string>{"--settings", path});
  ports_[n] = entries[n]->frame_port();
}

void EntryGroup::StartReplica(bool keeps_fence) {
  const std::string node = ReplicaName(upstreams.size());
  upstreams.push_back(std::make_unique<Process>(
      bin_dir_ + "/tests/standin-upstream",
      std::vector<std::string>{"--kind", "generate", "--name", node}));
  HttpRequest fault;
  fault.method = "POST";
  fault.url = StrCat(upstreams.back()->url(), "/faults");
  fault.body = Json{{"keeps_fence", keeps_fence}}.dump();
  Call(fault);
  const Json json = {
      {"role", "sidecar"},
      {"node", node},
      {"frame_key", kFrameKey},
      {"listen", {{"ip", "127.0.0.1"}, {"port", 0}}},
      {"platform", {{"url", platform->url()}}},
      {"upstream", {{"url", upstreams.back()->url()}, {"pool", "generators"}}}};
  const std::string path = StrCat(dir_, "/", node, ".json");
  std::ofstream(path) << json.dump();
  sidecars.push_back(
      std::make_unique<Process>(bin_dir_ + "/acaciachuted",
                                std::vector<std::string>{"--settings", path}));
}

std::vector<std::string> EntryGroup::ExecutedOrdersAt(int n) {
  const auto result = Get(StrCat(upstreams[n]->url(), "/orders"));
  std::vector<std::string> orders;
  for (const auto& it : Json::parse(result.body, nullptr, false)) {
    orders.push_back(StrCat(it.value("version", ""), "@",
                            it.value("fence", FenceNumber{0})));
  }
  return orders;
}

int EntryGroup::LeaseHolder() {
  for (std::size_t n = 0; n < entries.size(); ++n) {
    const auto result = Get(StrCat(entries[n]->url(), "/status"));
    const Json in = Json::parse(result.body, nullptr, false);
    if (in.is_object() && in["leases"].contains("generators")) {
      return static_cast<int>(n);
    }
  }
  return -1;
}

std::string EntryGroup::BranchJson() const {
  Json replicas = Json::array();
  for (std::size_t n = 0; n < sidecars.size(); ++n) {
    replicas.push_back({{"node", ReplicaName(n)},
                        {"ip", "127.0.0.1"},
                        {"port", sidecars[n]->frame_port()}});
  }
  Json pools = Json::object();
  if (!replicas.empty()) {
    pools["generators"] = {
        {"kind", "generate"},
        {"replicas", replicas},
        {"models", {{{"name", "notices"}, {"version", model_version_}}}}};
  }
  Json list = Json::array();
  for (std::size_t n = 0; n < ports_.size(); ++n) {
    list.push_back(
        {{"node", NodeName(n)}, {"ip", "127.0.0.1"}, {"port", ports_[n]}});
  }
  return Json{{"owner", "ops"},
              {"entries", list},
              {"pools", pools},
              {"accounts", {{"a", {{"share", changes_}}}}}}
      .dump();
}

HttpResult EntryGroup::Call(const HttpRequest& request) {
  HttpResult out;
  client_.Call(request, [&](const HttpResult& result) {
    out = result;
    loop_.Quit();
  });
  loop_.Run();
  return out;
}

HttpResult EntryGroup::Get(const std::string& url) {
  HttpRequest request;
  request.url = url;
  return Call(request);
}

StoreAnswer EntryGroup::Transact(const std::vector<StoreOp>& ops) {
  HttpRequest request;
  request.method = "POST";
  request.url = StrCat(platform->url(), kTransactPath);
  request.body = EncodeTransaction(ops);
  const HttpResult result = Call(request);
  return result.ended() ? DecodeStoreAnswer(result.status, result.body)
                        : StoreAnswer{};
}

SettingsVersion EntryGroup::Change() {
  ++changes_;
  SettingsChange change;
  change.branch = "ops";
  change.team = "ops";
  change.json = BranchJson();
  SettingsWrite write(std::move(change), changes_);
  while (!write.result()) {
    write.OnAnswer(Transact(write.Next()));
  }
  const bool accepted = write.result()->outcome == WriteOutcome::kAccepted;
  return accepted ? write.result()->version : 0;
}

void EntryGroup::InjectFaults(const std::string& json) {
  HttpRequest request;
  request.method = "POST";
  request.url = StrCat(platform->url(), "/faults");
  request.body = json;
  Call(request);
}

bool EntryGroup::Ready(int n) {
  return Get(StrCat(entries[n]->url(), "/readyz")).status == 200;
}

SettingsVersion EntryGroup::VersionAt(int n) {
  const auto result = Get(StrCat(entries[n]->url(), "/status"));
  const Json in = Json::parse(result.body, nullptr, false);
  if (!in.is_object()) {
    return 0;
  }
  return in["branches"].value("ops", SettingsVersion{0});
}

bool EntryGroup::AllReady() {
  for (std::size_t n = 0; n < entries.size(); ++n) {
    if (!Ready(static_cast<int>(n))) {
      return false;
    }
  }
  return true;
}

int EntryGroup::CountAtVersion(SettingsVersion version) {
  int count = 0;
  for (std::size_t n = 0; n < entries.size(); ++n) {
    count += VersionAt(static_cast<int>(n)) >= version ? 1 : 0;
  }
  return count;
}

bool EntryGroup::WaitFor(const std::function<bool()>& condition,
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

}  // namespace acaciachute
