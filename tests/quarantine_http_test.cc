// Tests the operators' HTTP interface to the quarantine with valid and invalid
// input.
#include "protocol/quarantine_http.h"

#include <gtest/gtest.h>

#include "text.h"

namespace acaciachute {
namespace {

HttpReply Serve(const char* method,
                const char* path,
                const std::string& body,
                Quarantine* quarantine) {
  HttpHead head;
  head.method = method;
  head.path = path;
  const auto reply = ServeQuarantine(head, body, kSecond, quarantine);
  return reply ? *reply : HttpReply{404, "", {}, "none"};
}

TEST(QuarantineHttpTest, OperatorSeesAndLifts) {
  Quarantine quarantine;
  quarantine.OnCrash(kSecond, "models-1", {{0xabc, "office"}});
  const auto list = Serve("GET", "/quarantine", "", &quarantine);
  EXPECT_EQ(list.status, 200);
  EXPECT_TRUE(Contains(list.body, "0000000000000abc"));
  EXPECT_TRUE(Contains(list.body, "suspect"));
  EXPECT_TRUE(Contains(list.body, "models-1"));
  const std::string name = R"({"fingerprint":"0000000000000abc"})";
  EXPECT_EQ(Serve("POST", "/quarantine/lift", name, &quarantine).status, 200);
  EXPECT_EQ(quarantine.Of(kSecond, 0xabc), QuarantineState::kClear);
  EXPECT_EQ(Serve("POST", "/quarantine/lift", name, &quarantine).status, 404);
}

TEST(QuarantineHttpTest, BadInputIsRefused) {
  Quarantine quarantine;
  for (const char* body :
       {"", "{", "[]", "{}", R"({"fingerprint":7})", R"({"fingerprint":"xyz"})",
        R"({"fingerprint":"0"})", R"({"fingerprint":"11223344556677889"})",
        "{\"fingerprint\":\"\xff\"}"}) {
    EXPECT_EQ(Serve("POST", "/quarantine/lift", body, &quarantine).status, 400)
        << body;
  }
  EXPECT_EQ(Serve("GET", "/quarantine/other", "", &quarantine).body, "none");
}

}  // namespace
}  // namespace acaciachute
