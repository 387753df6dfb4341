// Admission of requests with stages under load, judged by what clients get: a
// request that is admitted as in time is answered in time, and the stages are
// used for such requests.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "tests/gateway/stage_fleet.h"

namespace acaciachute {
namespace {

constexpr DurationUs kMs = kMillisecond;

BatchLimits Limits(std::uint64_t memory = 1 << 20) {
  return {1, 2, 8, 300 * kMs, 10 * kMs, memory, 4 * kSecond};
}

// Requests a second that a service can make at most, of `pieces` pieces each.
double Capacity(const FleetService& service, std::uint32_t pieces) {
  const double call =
      static_cast<double>(service.limits.call +
                          service.limits.piece * service.limits.batch) /
      static_cast<double>(kSecond);
  return service.replicas * service.limits.batch / call / pieces;
}

std::size_t AdmittedInTime(StageFleet* fleet, const std::string& route = "") {
  return fleet->Count(route, [](const FleetRequest& it) {
    return it.admitted == AdmissionResult::kInTime;
  });
}
std::size_t ServedInTime(StageFleet* fleet, const std::string& route = "") {
  return fleet->Count(route,
                      [](const FleetRequest& it) { return it.InTime(); });
}

// Nine of ten requests that were admitted as in time are.
void ExpectForecastHolds(StageFleet* fleet, const std::string& route = "") {
  const std::size_t admitted = AdmittedInTime(fleet, route);
  const std::size_t kept = fleet->Count(route, [](const FleetRequest& it) {
    return it.admitted == AdmissionResult::kInTime && it.InTime();
  });
  const std::size_t late = fleet->Count(route, [](const FleetRequest& it) {
    return it.first_event_at && !it.InTime();
  });
  const std::size_t ended = fleet->Count(route, [](const FleetRequest& it) {
    return it.admitted && !it.first_event_at;
  });
  const std::size_t never =
      fleet->Count(route, [](const FleetRequest& it) { return !it.admitted; });
  const std::size_t all =
      fleet->Count(route, [](const FleetRequest&) { return true; });
  std::cout << "[ figures  ] " << (route.empty() ? "all" : route) << ": " << all
            << " sent, " << admitted << " admitted in time, " << kept
            << " of them kept, " << ServedInTime(fleet, route)
            << " in time in all, " << late << " late, " << ended
            << " admitted and not served, " << never << " never admitted\n";
  std::vector<DurationUs> beyond;
  for (const auto& [id, it] : fleet->requests) {
    if (it.admitted == AdmissionResult::kInTime && it.first_event_at &&
        (route.empty() || it.route == route)) {
      beyond.push_back(*it.first_event_at - it.sent_at - it.target);
    }
  }
  std::sort(beyond.begin(), beyond.end());
  if (!beyond.empty()) {
    std::cout << "[ figures  ] beyond the target, ms: half "
              << beyond[beyond.size() / 2] / kMs << ", 0.8 "
              << beyond[beyond.size() * 8 / 10] / kMs << ", 0.95 "
              << beyond[beyond.size() * 95 / 100] / kMs << "\n";
  }
  EXPECT_GT(admitted, 0U);
  EXPECT_GE(kept * 10, admitted * 9);
}

void SetTargets(StageFleet* fleet, const std::vector<Route>& routes) {
  for (auto& [id, request] : fleet->requests) {
    for (const Route& it : routes) {
      if (it.name == request.route) {
        request.target = it.target;
      }
    }
  }
}

struct Scene {
  std::vector<FleetService> services;
  std::vector<Route> routes;
  std::unique_ptr<StageFleet> fleet;

  void Begin(int gateways) {
    fleet = std::make_unique<StageFleet>(gateways, services, routes);
  }
  void Run(const std::vector<FleetLoad>& loads, DurationUs time) {
    fleet->Run(loads, time);
    SetTargets(fleet.get(), routes);
  }
};

// One stage with results of which a replica holds twelve.
Scene LargeResults() {
  Scene scene;
  scene.services = {{"s0", 10, Limits(1200000)}};
  scene.routes = {
      StageFleet::RouteOf("large", 0, 1500 * kMs, {{"s0", {}, 100000}})};
  return scene;
}

// Three stages, the second of which is the slowest.
Scene Chain() {
  Scene scene;
  scene.services = {
      {"s0", 12, Limits()}, {"s1", 8, Limits()}, {"s2", 12, Limits()}};
  scene.routes = {StageFleet::RouteOf(
      "chain", 0, 2500 * kMs,
      {{"s0", {}, 8000}, {"s1", {0}, 8000}, {"s2", {1}, 8000}})};
  return scene;
}

// Guards against bursts in which every request is served just too late.
TEST(StageAdmissionFleetTest, BurstOfLargeResults) {
  Scene scene = LargeResults();
  scene.Begin(8);
  const double capacity = Capacity(scene.services[0], 4);
  scene.Run({{"large", 2 * capacity, 0, 5 * kSecond, {4}}}, 16 * kSecond);
  ExpectForecastHolds(scene.fleet.get());
  EXPECT_GE(static_cast<double>(ServedInTime(scene.fleet.get())),
            0.95 * 5 * capacity);
}

// Guards against requests that find later stages filled by those admitted
// before them.
TEST(StageAdmissionFleetTest, BurstOfChainedStages) {
  Scene scene = Chain();
  scene.Begin(8);
  const double capacity = Capacity(scene.services[1], 4);
  scene.Run({{"chain", 2 * capacity, 0, 5 * kSecond, {4, 4, 4}}}, 16 * kSecond);
  ExpectForecastHolds(scene.fleet.get());
  EXPECT_GE(static_cast<double>(ServedInTime(scene.fleet.get())),
            0.95 * 5 * capacity);
}

// Guards against patient requests that are admitted, overtaken by urgent ones
// at a later stage, and dropped there after work was done for them.
TEST(StageAdmissionFleetTest, PatientBesideUrgent) {
  Scene scene;
  scene.services = {{"s0", 12, Limits()}, {"s1", 8, Limits()}};
  scene.routes = {StageFleet::RouteOf("urgent", 0, 1500 * kMs,
                                      {{"s0", {}, 8000}, {"s1", {0}, 8000}}),
                  StageFleet::RouteOf("patient", 3, 2500 * kMs,
                                      {{"s0", {}, 8000}, {"s1", {0}, 8000}})};
  scene.Begin(8);
  const double capacity = Capacity(scene.services[1], 4);
  scene.Run({{"urgent", 0.8 * capacity, 0, 20 * kSecond, {4, 4}},
             {"patient", 0.4 * capacity, 0, 20 * kSecond, {4, 4}}},
            32 * kSecond);
  ExpectForecastHolds(scene.fleet.get(), "urgent");
  ExpectForecastHolds(scene.fleet.get(), "patient");
  const std::size_t dropped =
      scene.fleet->Count("", [](const FleetRequest& it) {
        // Nothing was made for parked requests that did not start.
        return it.admitted && it.admitted != AdmissionResult::kParked &&
               !it.first_event_at;
      });
  EXPECT_LE(dropped * 20, scene.fleet->requests.size());
}

// Guards against decisions by a report that stays what it was before a burst.
TEST(StageAdmissionFleetTest, BurstWhileReportsAreLost) {
  Scene scene = LargeResults();
  scene.Begin(8);
  const TimeUs start = scene.fleet->now;
  scene.fleet->loses_report = [=](TimeUs now) {
    return now > start + kSecond && now < start + 1600 * kMs;
  };
  const double capacity = Capacity(scene.services[0], 4);
  scene.Run({{"large", 2 * capacity, 0, 5 * kSecond, {4}}}, 16 * kSecond);
  ExpectForecastHolds(scene.fleet.get());
}

// Guards against a gateway that takes over and knows nothing of the queue: it
// admits as before, and its forecasts hold again within a second or two.
TEST(StageAdmissionFleetTest, BatchingGatewayEndsInABurst) {
  Scene scene = LargeResults();
  scene.Begin(8);
  StageFleet* fleet = scene.fleet.get();
  const NodeId owner =
      fleet->nodes.begin()->second->peers_of_node.OwnerOf("s0");
  fleet->At(fleet->now + kSecond,
            [=] { fleet->nodes.at(owner)->alive = false; });
  const double capacity = Capacity(scene.services[0], 4);
  scene.Run({{"large", 1.5 * capacity, 0, 10 * kSecond, {4}}}, 22 * kSecond);
  // Of the requests that came after the new owner's first seconds.
  std::size_t admitted = 0;
  std::size_t kept = 0;
  const TimeUs start = fleet->requests.begin()->second.sent_at;
  for (const auto& [id, it] : fleet->requests) {
    if (it.sent_at > start + 5 * kSecond &&
        it.admitted == AdmissionResult::kInTime) {
      ++admitted;
      kept += it.InTime() ? 1 : 0;
    }
  }
  std::cout << "[ figures  ] after 5 s: " << admitted << " admitted, " << kept
            << " kept\n";
  EXPECT_GT(admitted, 0U);
  EXPECT_GE(kept * 10, admitted * 9);
}

// Guards against a forecast that relies on announcements.
TEST(StageAdmissionFleetTest, ChainWithoutAnnouncements) {
  Scene scene = Chain();
  scene.Begin(8);
  scene.fleet->loses_announcements = true;
  const double capacity = Capacity(scene.services[1], 4);
  scene.Run({{"chain", 1.5 * capacity, 0, 5 * kSecond, {4, 4, 4}}},
            16 * kSecond);
  // Requests are served as before, most of them in time.
  EXPECT_GE(static_cast<double>(ServedInTime(scene.fleet.get())),
            0.6 * 5 * capacity);
}

}  // namespace
}  // namespace acaciachute
