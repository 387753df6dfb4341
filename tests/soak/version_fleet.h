// A deployment of real gateways, two streaming services and replicas of several
// software versions, and the truth of who serves what since when.
#ifndef ACACIACHUTE_TESTS_SOAK_VERSION_FLEET_H_
#define ACACIACHUTE_TESTS_SOAK_VERSION_FLEET_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "state/random.h"
#include "tests/process/relay.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/standin_store.h"
#include "tests/soak/version_replica.h"
#include "transport/loop.h"

namespace acaciachute {

struct VersionFleetOptions {
  std::uint64_t seed = 1;
  int gateways = 5;
  int versions = 1;  // That serve from the start on.
  ServiceRetryBudgetLimits retries;
  std::string log_prefix;  // Of the gateways' logs; empty: no logs.
};

class VersionFleet {
 public:
  VersionFleet(Loop* loop, const VersionFleetOptions& options);

  // Starts all gateways; returns false when one is not ready within 10 s.
  bool Start();
  bool WaitFor(DurationUs timeout, const std::function<bool()>& condition);
  std::vector<Address> ClientAddresses() const;
  std::size_t gateways() const { return gateways_.size(); }

  // Replicas of the next version start at the route's service. `leave`: what
  // becomes of those of the versions before, which serve on for `kLeaveTime`.
  enum class Leave { kNone, kDraining, kRowRemoved };
  void StartNextVersion(Leave leave);
  static constexpr DurationUs kLeaveTime = 12 * kSecond;
  // Limit on the time until all are replaced, or say that they leave.
  static constexpr DurationUs kMaxRollTime = 1600 * kMillisecond;
  // The route goes to the other service, which has another version.
  void MoveRoute();
  // Some or all replicas of the route's service end, one after the other, and
  // come back under their ids and addresses as the next version. Their rows say
  // so `row_delay` after they listen again.
  void ReplaceInPlace(DurationUs row_delay);

  // Harm gateways, all that are `picked`, and end the harm after `duration`.
  using Picked = std::vector<std::size_t>;
  void Kill(const Picked& picked, DurationUs duration);
  void Pause(const Picked& picked, DurationUs duration);
  void CutFromStore(const Picked& picked, DurationUs duration);

  // Whether no gateway has been harmed from `since` until now.
  bool CalmSince(TimeUs since) const {
    return harms_ == 0 && last_harm_at_ < since;
  }
  // Whether two replicas of `version` have served since then. `listed`: all the
  // while with a row that said ready, at the route's service.
  bool ServedSince(TimeUs since, const std::string& version, bool listed) const;

 private:
  struct Member {
    std::unique_ptr<VersionReplica> replica;
    // Since when its row says ready, and is true; empty: it does not.
    std::optional<TimeUs> listed_since;
    bool leaving = false;
    bool has_row = true;
  };

  const std::string& service() const { return services_[route_at_]; }
  std::string NextVersion();
  void StartReplicas(const std::string& service, const std::string& version);
  void WriteRow(Member* member);
  void RemoveRow(Member* member);
  void LetLeave(Member* member, Leave leave);
  void Replace(Member* member,
               const std::string& version,
               DurationUs row_delay);
  void WriteConfig();
  void BeginHarm(DurationUs duration, std::function<void()> end);
  DurationUs DrawTime(DurationUs most) {
    return static_cast<DurationUs>(
        random_.Below(static_cast<std::uint64_t>(most)));
  }

  Loop* const loop_;
  const std::array<std::string, 2> services_ = {"engine", "engine-b"};
  Random random_;
  StandinStore store_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<Relay>> store_links_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
  std::size_t route_at_ = 0;  // Index of the route's service.
  TimeUs route_moved_at_ = 0;
  int versions_ = 0;
  int configs_ = 0;
  int harms_ = 0;  // That last.
  TimeUs last_harm_at_ = 0;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_VERSION_FLEET_H_
