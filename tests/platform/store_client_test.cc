// Tests calls to the store over loopback sockets.
#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "tests/soak/loopback.h"
#include "tests/soak/raw_listener.h"
#include "text.h"

namespace acaciachute::platform {
namespace {

// A store that sends each answer, with a version of its own, once more, late.
struct LateStore : ListenerHandler {
  explicit LateStore(Loop* loop) : listener(this, loop, address) {
    listener.SetLateCopies(1);
  }
  void OnRequest(ExchangeId id, HttpRequestHead, std::string) override {
    const std::string body = StrCat(R"({"rows":[],"ver":)", ++version, "}");
    listener.Write(id, StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                              body.size(), "\r\n\r\n", body));
    listener.Keep(id);
  }
  void OnClientDisconnected(ExchangeId) override {}
  void OnWritten(ExchangeId) override {}
  void OnListenerEvent(const ListenerEvent&) override {}

  const Address address = FreeAddress();
  RawListener listener;
  int version = 0;
};

// Guards against a table that is taken for current by the answer to an earlier
// request: the store names no request in its answers.
TEST(StoreClientTest, ALateCopyOfAnAnswerEndsNoOtherRequest) {
  Loop loop;
  LateStore store(&loop);
  HttpChannels channels(&loop);
  std::optional<TableAnswer> answer;
  StoreClient client(
      &channels, store.address,
      [&](const std::string&, std::uint64_t, const TableAnswer& it) {
        answer = it;
        loop.Quit();
      });
  for (int n = 0; n < 5; ++n) {
    client.SendRequest({"servers", 1, {true, "", 0, 0}, kSecond, kSecond});
    loop.Run();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, TableAnswer::Kind::kRows) << answer->why;
    EXPECT_EQ(answer->version, static_cast<std::uint64_t>(store.version));
  }
}

}  // namespace
}  // namespace acaciachute::platform
