#include "tests/soak/version_fleet.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

#include "tests/soak/loopback.h"
#include "tests/soak/raw_client.h"
#include "tests/soak/version_client.h"
#include "text.h"

namespace acaciachute {
namespace {

using Json = nlohmann::json;

// Interval between the questions whether a gateway is ready.
constexpr DurationUs kAskInterval = 50 * kMillisecond;
constexpr int kReplicasOfVersion = 4;
// Time between the start of new replicas and the first that leaves, and in
// which all leave.
constexpr DurationUs kRollTime = VersionFleet::kMaxRollTime / 2;
constexpr DurationUs kMaxDownTime = 200 * kMillisecond;

}  // namespace

VersionFleet::VersionFleet(Loop* loop, const VersionFleetOptions& options)
    : loop_(loop), random_(options.seed), store_(loop) {
  for (int n = 0; n < options.versions; ++n) {
    StartReplicas(service(), NextVersion());
  }
  WriteConfig();
  for (int n = 0; n < options.gateways; ++n) {
    GatewayProcessOptions it;
    it.name = StrCat("front-", n);
    store_links_.push_back(std::make_unique<Relay>(store_.address().port));
    it.store = {"127.0.0.1", store_links_.back()->port()};
    it.retries = options.retries;
    if (!options.log_prefix.empty()) {
      it.log = StrCat(options.log_prefix, it.name, ".log");
    }
    gateways_.push_back(std::make_unique<GatewayProcess>(it));
  }
}

bool VersionFleet::Start() {
  constexpr int kOk = 200;
  for (auto& it : gateways_) {
    it->Start();
  }
  return std::all_of(gateways_.begin(), gateways_.end(), [this](auto& it) {
    std::unique_ptr<RawClient> asked;
    return WaitFor(10 * kSecond, [&] {
      if (asked != nullptr && !asked->ended()) {
        return false;
      }
      if (asked != nullptr && asked->status() == kOk) {
        return true;
      }
      WaitFor(kAskInterval, [] { return false; });
      asked = std::make_unique<RawClient>(
          loop_, it->readiness(),
          "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
          nullptr);
      return false;
    });
  });
}

bool VersionFleet::WaitFor(DurationUs timeout,
                           const std::function<bool()>& condition) {
  const TimeUs end = Loop::Now() + timeout;
  bool holds = condition();
  while (!holds && Loop::Now() < end) {
    loop_->After(10 * kMillisecond, [this] { loop_->Quit(); });
    loop_->Run();
    holds = condition();
  }
  return holds;
}

std::vector<Address> VersionFleet::ClientAddresses() const {
  std::vector<Address> out;
  for (const auto& it : gateways_) {
    out.push_back(it->clients());
  }
  return out;
}

std::string VersionFleet::NextVersion() {
  return StrCat("v", ++versions_);
}

void VersionFleet::StartReplicas(const std::string& service,
                                 const std::string& version) {
  for (int n = 0; n < kReplicasOfVersion; ++n) {
    members_.push_back(std::make_unique<Member>());
    Member* it = members_.back().get();
    it->replica = std::make_unique<VersionReplica>(
        loop_, StrCat("i-", version, "-", n), service, version, random_.Next());
    WriteRow(it);
  }
}

void VersionFleet::WriteRow(Member* member) {
  const VersionReplica& it = *member->replica;
  store_.Put("servers", it.id(),
             it.Row(member->leaving ? "draining" : "ready"));
  member->listed_since =
      member->leaving ? std::nullopt : std::optional<TimeUs>(Loop::Now());
}

void VersionFleet::RemoveRow(Member* member) {
  member->has_row = false;
  member->listed_since.reset();
  store_.Remove("servers", member->replica->id());
}

void VersionFleet::StartNextVersion(Leave leave) {
  std::vector<Member*> before;
  for (const auto& it : members_) {
    if (it->replica->service() == service() && !it->leaving) {
      before.push_back(it.get());
    }
  }
  StartReplicas(service(), NextVersion());
  if (leave == Leave::kNone) {
    return;
  }
  for (Member* it : before) {
    RunAfter(loop_, kRollTime + DrawTime(kRollTime), alive_,
             [this, it, leave] { LetLeave(it, leave); });
  }
}

void VersionFleet::LetLeave(Member* member, Leave leave) {
  if (std::exchange(member->leaving, true)) {
    return;
  }
  if (leave == Leave::kDraining) {
    member->replica->StateLeaving();
    WriteRow(member);
  } else {
    RemoveRow(member);
  }
  RunAfter(loop_, kLeaveTime, alive_, [this, member] {
    member->replica->GoDown();
    RemoveRow(member);
  });
}

void VersionFleet::MoveRoute() {
  route_at_ = 1 - route_at_;
  if (std::none_of(members_.begin(), members_.end(), [this](const auto& it) {
        return it->replica->service() == service() && !it->leaving;
      })) {
    StartReplicas(service(), NextVersion());
  }
  route_moved_at_ = Loop::Now();
  WriteConfig();
}

void VersionFleet::ReplaceInPlace(DurationUs row_delay) {
  const std::string version = NextVersion();
  const bool all = random_.Below(2) == 0;
  for (const auto& it : members_) {
    if (it->replica->service() == service() && !it->leaving &&
        (all || random_.Below(2) == 0)) {
      RunAfter(loop_, DrawTime(kRollTime), alive_,
               [this, version, row_delay, member = it.get()] {
                 Replace(member, version, row_delay);
               });
    }
  }
}

void VersionFleet::Replace(Member* member,
                           const std::string& version,
                           DurationUs row_delay) {
  if (member->leaving || !member->replica->serving()) {
    return;
  }
  member->replica->GoDown();
  member->listed_since.reset();
  const auto come_back = [this, member, version, row_delay] {
    member->replica->ComeBack(version);
    RunAfter(loop_, row_delay, alive_, [this, member] {
      if (member->has_row) {
        WriteRow(member);
      }
    });
  };
  RunAfter(loop_, DrawTime(kMaxDownTime), alive_, come_back);
}

void VersionFleet::WriteConfig() {
  constexpr auto kTimeoutMs = VersionClient::kDeadline / kMillisecond;
  const Json route = {{"name", "resumed"},        {"host", "h.example"},
                      {"prefix", "/resumed/"},    {"kind", "streaming"},
                      {"timeout_ms", kTimeoutMs}, {"target_latency_ms", 2000},
                      {"gap_aim_ms", 300},        {"priority", 1},
                      {"service", service()},     {"max_attempts", 2},
                      {"stream_resume", true}};
  Json services = Json::array();
  for (const auto& it : services_) {
    services.push_back({{"name", it},
                        {"kv_capacity_tokens", 1000000},
                        {"slots", 64},
                        {"stride", 6}});
  }
  store_.Put("op", "config",
             {{"version", ++configs_},
              {"routes", {route}},
              {"services", services},
              {"tenants", Json::array()}});
}

void VersionFleet::BeginHarm(DurationUs duration, std::function<void()> end) {
  ++harms_;
  RunAfter(loop_, duration, alive_, [this, end = std::move(end)] {
    end();
    --harms_;
    last_harm_at_ = Loop::Now();
  });
}

void VersionFleet::Kill(const Picked& picked, DurationUs duration) {
  for (const std::size_t n : picked) {
    GatewayProcess* gateway = gateways_[n].get();
    gateway->Signal(SIGKILL);
    BeginHarm(duration, [gateway] {
      if (gateway->Ended()) {
        gateway->Start();
      }
    });
  }
}

void VersionFleet::Pause(const Picked& picked, DurationUs duration) {
  for (const std::size_t n : picked) {
    GatewayProcess* gateway = gateways_[n].get();
    gateway->Signal(SIGSTOP);
    BeginHarm(duration, [gateway] { gateway->Signal(SIGCONT); });
  }
}

void VersionFleet::CutFromStore(const Picked& picked, DurationUs duration) {
  for (const std::size_t n : picked) {
    Relay* link = store_links_[n].get();
    link->Cut();
    BeginHarm(duration, [link] { link->Restore(); });
  }
}

bool VersionFleet::ServedSince(TimeUs since,
                               const std::string& version,
                               bool listed) const {
  constexpr auto kServing = 2;
  if (listed && route_moved_at_ > since) {
    return false;
  }
  return std::count_if(members_.begin(), members_.end(), [&](const auto& it) {
           const VersionReplica& replica = *it->replica;
           return replica.version() == version && replica.serving() &&
                  replica.started_at() <= since &&
                  (!listed || (replica.service() == service() &&
                               it->listed_since && *it->listed_since <= since));
         }) >= kServing;
}

}  // namespace acaciachute
