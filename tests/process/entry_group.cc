#include "tests/process/entry_group.h"

#include <glib/gstdio.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/settings_write.h"
#include "protocol/platform_codec.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

constexpr char kFrameKey[] = "0123456789abcdef0123456789abcdef";
constexpr DurationUs kCallTimeout = 10 * kSecond;
constexpr DurationUs kPoll = 10 * kMillisecond;

std::string NodeName(std::size_t n) {
  return StrCat("entry-", n);
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

std::string EntryGroup::BranchJson() const {
  Json list = Json::array();
  for (std::size_t n = 0; n < ports_.size(); ++n) {
    list.push_back(
        {{"node", NodeName(n)}, {"ip", "127.0.0.1"}, {"port", ports_[n]}});
  }
  return Json{{"owner", "ops"},
              {"entries", list},
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

StoreAnswer EntryGroup::Transact(const std::vector<StoreOp>& ops) {
  HttpRequest request;
  request.method = "POST";
  request.url = StrCat(platform->url(), kTransactPath);
  request.body = EncodeTransaction(ops);
  const HttpResult result = Call(request);
  return result.whole ? DecodeStoreAnswer(result.status, result.body)
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

void EntryGroup::Fault(const std::string& json) {
  HttpRequest request;
  request.method = "POST";
  request.url = StrCat(platform->url(), "/faults");
  request.body = json;
  Call(request);
}

bool EntryGroup::Ready(int n) {
  HttpRequest request;
  request.url = StrCat(entries[n]->url(), "/readyz");
  return Call(request).status == 200;
}

SettingsVersion EntryGroup::VersionAt(int n) {
  HttpRequest request;
  request.url = StrCat(entries[n]->url(), "/status");
  const Json in = Json::parse(Call(request).body, nullptr, false);
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

int EntryGroup::Having(SettingsVersion version) {
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
    loop_.After(kPoll, [this] { loop_.Quit(); });
    loop_.Run();
  }
  return true;
}

}  // namespace acaciachute
