// Tests the configuration by which gateways serve: look-ups, and versions that
// share what did not change.
#include "state/serving_config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace acaciachute {
namespace {

Route MakeRoute(const std::string& name,
                const std::string& host,
                const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  return route;
}

std::string NameOf(const Route* route) {
  return route == nullptr ? "" : route->name;
}

// A route that moves to the place of another one must not be removed together
// with that one.
TEST(ServingConfigTest, ARouteThatTakesAnothersPlaceStaysThere) {
  ServingConfig config;
  config.AddRoute(MakeRoute("a", "h", "/1/"));
  config.AddRoute(MakeRoute("b", "h", "/1/"));
  config.RemoveRoute(MakeRoute("a", "h", "/1/"));
  EXPECT_EQ(NameOf(config.FindRoute("h", "/1/x")), "b");
  EXPECT_EQ(config.routes(), 1U);
}

TEST(ServingConfigTest, AKeyThatAnotherAccountHasNowIsKept) {
  ServingConfig config;
  config.AddAccount({"a", {}}, {"k1", "k2"});
  config.AddAccount({"b", {}}, {"k1"});
  config.RemoveAccount("a", {"k1", "k2"});
  ASSERT_NE(config.FindAccount("k1"), nullptr);
  EXPECT_EQ(config.FindAccount("k1")->name, "b");
  EXPECT_EQ(config.FindAccount("k2"), nullptr);
  EXPECT_TRUE(config.needs_keys());
  config.RemoveAccount("b", {"k1"});
  EXPECT_FALSE(config.needs_keys());
}

TEST(ServingConfigTest, AHostNameWithASlashFindsNoOtherHostsRoute) {
  ServingConfig config;
  config.AddRoute(MakeRoute("a", "h", "/1/2/"));
  config.AddRoute(MakeRoute("b", "i", "/3/"));
  EXPECT_EQ(config.FindRoute("h/1", "/2/x"), nullptr);
}

// Requests in progress hold an earlier version, which must not change.
TEST(ServingConfigTest, AnEarlierVersionIsNotChangedByALaterOne) {
  ServingConfig config;
  config.AddRoute(MakeRoute("a", "h", "/1/"));
  const ServingConfig earlier = config;
  config.RemoveRoute(MakeRoute("a", "h", "/1/"));
  config.AddRoute(MakeRoute("b", "h", "/2/"));
  EXPECT_EQ(NameOf(earlier.FindRoute("h", "/1/x")), "a");
  EXPECT_EQ(NameOf(earlier.FindRoute("h", "/2/x")), "");
  EXPECT_EQ(NameOf(config.FindRoute("h", "/1/x")), "");
}

// Compares look-ups with a search of all routes, the longest prefix first.
RC_GTEST_PROP(ServingConfigTest, FindsTheLongestPrefixLikeASearchOfAll, ()) {
  const std::vector<std::string> prefixes = {"/",      "/a/",     "/a/b/",
                                             "/a/bc/", "/a/b/c/", "/ab/"};
  const std::vector<std::string> hosts = {"h", "i.example"};
  ServingConfig config;
  std::map<std::string, Route> added;
  const int steps = *rc::gen::inRange(0, 40);
  for (int n = 0; n < steps; ++n) {
    const std::string host = *rc::gen::elementOf(hosts);
    const std::string prefix = *rc::gen::elementOf(prefixes);
    const auto it = added.find(host + prefix);
    if (it != added.end() && *rc::gen::arbitrary<bool>()) {
      config.RemoveRoute(it->second);
      added.erase(it);
    } else {
      const Route route = MakeRoute(std::to_string(n), host, prefix);
      config.AddRoute(route);
      added[host + prefix] = route;
    }
  }
  RC_ASSERT(config.routes() == added.size());
  for (const std::string& host : hosts) {
    for (const std::string path :
         {"/", "/a", "/a/", "/a/x", "/a/b/c/d?e", "/a/bc/", "/ab/", "/x"}) {
      const Route* longest = nullptr;
      for (const auto& [place, route] : added) {
        const bool matches =
            route.host == host &&
            path.substr(0, path.find('?')).starts_with(route.prefix);
        if (matches && (longest == nullptr ||
                        route.prefix.size() > longest->prefix.size())) {
          longest = &route;
        }
      }
      RC_ASSERT(NameOf(config.FindRoute(host, path)) == NameOf(longest));
    }
  }
}

}  // namespace
}  // namespace acaciachute
