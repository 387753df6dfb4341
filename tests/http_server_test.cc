// Tests the HTTP server over loopback sockets: requests that are too large, too
// slow or on too many connections are cut off, and a client's disconnect is
// detected while its request is in progress.
#include "transport/http_server.h"

#include <gio/gio.h>
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "text.h"
#include "transport/glib_ptr.h"
#include "transport/loop.h"

namespace acaciachute {
namespace {

constexpr DurationUs kWaitTimeout = 20 * kSecond;

bool WaitFor(const std::function<bool()>& condition) {
  const TimeUs end = Loop::Now() + kWaitTimeout;
  while (!condition()) {
    if (Loop::Now() > end) {
      return false;
    }
    if (!g_main_context_iteration(nullptr, FALSE)) {
      g_usleep(1000);
    }
  }
  return true;
}

// A client that sends arbitrary bytes.
class RawCaller {
 public:
  explicit RawCaller(std::uint16_t port) {
    const GPtr<GSocketClient> client(g_socket_client_new());
    connection_.reset(g_socket_client_connect_to_host(client.get(), "127.0.0.1",
                                                      port, nullptr, nullptr));
    socket_ = g_socket_connection_get_socket(connection_.get());
    g_socket_set_blocking(socket_, FALSE);
  }

  void Send(std::string_view text) {
    while (!text.empty()) {
      const gssize n =
          g_socket_send(socket_, text.data(), text.size(), nullptr, nullptr);
      if (n <= 0 && !WaitFor([this] {
            return g_socket_condition_check(
                       socket_, static_cast<GIOCondition>(G_IO_OUT | G_IO_HUP |
                                                          G_IO_ERR)) != 0;
          })) {
        return;
      }
      if (n <= 0 && g_socket_condition_check(socket_, G_IO_OUT) != G_IO_OUT) {
        return;
      }
      text.remove_prefix(n > 0 ? n : 0);
    }
  }

  // Reads the bytes that have arrived.
  void Read() {
    char buf[4096];
    for (;;) {
      GError* error = nullptr;
      const gssize n =
          g_socket_receive(socket_, buf, sizeof(buf), nullptr, &error);
      const GErrorPtr owned(error);
      if (n > 0) {
        received.append(buf, n);
        continue;
      }
      closed =
          n == 0 || !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      return;
    }
  }
  bool Sees(std::string_view text) {
    Read();
    return Contains(received, text);
  }
  bool SeesClose() {
    Read();
    return closed;
  }
  void HangUp() {
    g_io_stream_close(G_IO_STREAM(connection_.get()), nullptr, nullptr);
  }

  std::string received;
  bool closed = false;

 private:
  GPtr<GSocketConnection> connection_;
  GSocket* socket_ = nullptr;
};

struct Recorder : HttpHandler {
  void OnHttpRequest(std::uint64_t handle,
                     const HttpHead& head,
                     std::string_view body) override {
    bodies[handle] = body;
  }
  void OnHttpDisconnected(std::uint64_t handle) override {
    disconnected.push_back(handle);
  }

  std::map<std::uint64_t, std::string> bodies;
  std::vector<std::uint64_t> disconnected;
};

class HttpServerTest : public testing::Test {
 protected:
  void Listen(const HttpLimits& limits) {
    server_ = std::make_unique<HttpServer>(&handler_, limits);
    ASSERT_TRUE(server_->Listen({"127.0.0.1", 0}).ok());
  }
  void TearDown() override {
    server_.reset();
    while (g_main_context_iteration(nullptr, FALSE)) {
    }
  }

  static std::string Post(const std::string& body) {
    return StrCat("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: ",
                  body.size(), "\r\n\r\n", body);
  }

  Loop loop_;
  Recorder handler_;
  std::unique_ptr<HttpServer> server_;
};

HttpLimits SmallBody() {
  HttpLimits limits;
  limits.max_body = 1000;
  return limits;
}

TEST_F(HttpServerTest, CompleteRequestIsAnsweredAndTheConnectionKept) {
  Listen({});
  RawCaller caller(server_->port());
  for (std::size_t n = 1; n <= 2; ++n) {
    caller.Send(Post("{}"));
    ASSERT_TRUE(WaitFor([&] { return handler_.bodies.size() == n; }));
    HttpReply reply;
    reply.body = StrCat("answer", n);
    server_->Reply(n, reply);
    EXPECT_TRUE(WaitFor([&] { return caller.Sees(reply.body); }));
  }
  EXPECT_TRUE(WaitFor([&] { return server_->connections() == 1; }));
  EXPECT_TRUE(handler_.disconnected.empty());
  // The client disconnects between requests. libsoup alone would keep the file
  // descriptor open for ever.
  caller.HangUp();
  EXPECT_TRUE(WaitFor([&] { return server_->connections() == 0; }));
}

// A body whose length is over the limit is refused with 413 and its connection
// is closed; nothing of it reaches the handler.
TEST_F(HttpServerTest, BodyOverTheLimitIsRefused) {
  Listen(SmallBody());
  RawCaller caller(server_->port());
  caller.Send(Post(std::string(1001, 'x')));
  EXPECT_TRUE(WaitFor([&] { return caller.Sees("413"); }));
  EXPECT_TRUE(WaitFor([&] { return caller.SeesClose(); }));
  EXPECT_TRUE(Contains(caller.received, "not_run"));
  EXPECT_TRUE(handler_.bodies.empty());
}

// A chunked body states no length. It is refused once it exceeds the limit, and
// its connection is closed if it does not end, so that it cannot exhaust the
// memory.
TEST_F(HttpServerTest, ChunkedBodyOverTheLimitIsRefusedOrCut) {
  Listen(SmallBody());
  const std::string head =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = StrCat("200\r\n", std::string(512, 'x'), "\r\n");
  RawCaller ends(server_->port());
  ends.Send(StrCat(head, chunk, chunk, "0\r\n\r\n"));
  EXPECT_TRUE(WaitFor([&] { return ends.Sees("413"); }));
  RawCaller goes_on(server_->port());
  goes_on.Send(head);
  for (int n = 0; n < 12; ++n) {
    goes_on.Send(chunk);
  }
  EXPECT_TRUE(WaitFor([&] { return goes_on.SeesClose(); }));
  EXPECT_TRUE(handler_.bodies.empty());
}

// Guards against endless headers, which libsoup would buffer without limit.
TEST_F(HttpServerTest, HeadWithoutEndIsCut) {
  HttpLimits limits;
  limits.head = kSecond;
  Listen(limits);
  RawCaller caller(server_->port());
  caller.Send("POST /x HTTP/1.1\r\nHost: h\r\n");
  for (int n = 0; n < 200 && !caller.SeesClose(); ++n) {
    caller.Send(StrCat("X-", n, ": ", std::string(1000, 'x'), "\r\n"));
  }
  EXPECT_TRUE(WaitFor([&] { return caller.SeesClose(); }));
  EXPECT_TRUE(handler_.bodies.empty());
}

// Clients that send nothing, or stall in the head or in the body, are cut off,
// because each holds a connection that others need.
TEST_F(HttpServerTest, SlowSendersAreCut) {
  HttpLimits limits;
  limits.head = 100 * kMillisecond;
  limits.body = 100 * kMillisecond;
  Listen(limits);
  RawCaller silent(server_->port());
  RawCaller in_head(server_->port());
  RawCaller in_body(server_->port());
  in_head.Send("POST /x HT");
  in_body.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{");
  for (RawCaller* it : {&silent, &in_head, &in_body}) {
    EXPECT_TRUE(WaitFor([&] { return it->SeesClose(); }));
  }
  EXPECT_TRUE(WaitFor([&] { return server_->connections() == 0; }));
  EXPECT_TRUE(handler_.bodies.empty());
}

// The limit is two connections. While both are in use, the third is closed at
// once; after one of the two was closed, another is served.
TEST_F(HttpServerTest, ConnectionsAreBounded) {
  HttpLimits limits;
  limits.max_connections = 2;
  Listen(limits);
  RawCaller first(server_->port());
  RawCaller second(server_->port());
  first.Send(Post("{}"));
  second.Send(Post("{}"));
  ASSERT_TRUE(WaitFor([&] { return handler_.bodies.size() == 2; }));
  EXPECT_EQ(server_->connections(), 2);
  RawCaller third(server_->port());
  EXPECT_TRUE(WaitFor([&] { return third.SeesClose(); }));
  first.HangUp();
  ASSERT_TRUE(WaitFor([&] { return server_->connections() == 1; }));
  RawCaller fourth(server_->port());
  fourth.Send(Post("{}"));
  EXPECT_TRUE(WaitFor([&] { return handler_.bodies.size() == 3; }));
}

// Guards against connections that send nothing and shut out who comes later.
TEST_F(HttpServerTest, AConnectionThatSendsNothingGivesItsPlace) {
  HttpLimits limits;
  limits.max_connections = 2;
  Listen(limits);
  RawCaller silent(server_->port());
  ASSERT_TRUE(WaitFor([&] { return server_->connections() == 1; }));
  RawCaller in_use(server_->port());
  in_use.Send(Post("{}"));
  ASSERT_TRUE(WaitFor([&] { return handler_.bodies.size() == 1; }));
  RawCaller later(server_->port());
  later.Send(Post("{}"));
  EXPECT_TRUE(WaitFor([&] { return handler_.bodies.size() == 2; }));
  EXPECT_TRUE(WaitFor([&] { return silent.SeesClose(); }));
  EXPECT_FALSE(in_use.SeesClose());
}

// Guards against bodies, each within its limit, that fill the memory together:
// the one that stalls is refused as not run, and the other one is taken.
TEST_F(HttpServerTest, BodiesAreBoundedTogether) {
  HttpLimits limits;
  limits.client_memory = 100'000;
  Listen(limits);
  const std::string post = Post(std::string(90'000, 'x'));
  RawCaller stalled(server_->port());
  stalled.Send(post.substr(0, post.size() - 1));
  RawCaller whole(server_->port());
  whole.Send(post);
  ASSERT_TRUE(WaitFor([&] { return handler_.bodies.size() == 1; }));
  stalled.Send(post.substr(post.size() - 1));
  EXPECT_TRUE(WaitFor([&] { return stalled.Sees("503"); }));
  EXPECT_TRUE(Contains(stalled.received, "not_run"));
  EXPECT_EQ(handler_.bodies.size(), 1U);
}

// Guards against work that continues to its end for a client that disconnected:
// libsoup reads nothing from a paused message, so only the watch on the socket
// detects the disconnect.
TEST_F(HttpServerTest, HangUpIsNoticedWhileTheRequestRuns) {
  Listen({});
  RawCaller caller(server_->port());
  caller.Send(Post("{}"));
  ASSERT_TRUE(WaitFor([&] { return handler_.bodies.size() == 1; }));
  caller.HangUp();
  ASSERT_TRUE(WaitFor([&] { return handler_.disconnected.size() == 1; }));
  EXPECT_EQ(handler_.disconnected[0], 1);
  server_->Reply(1, {});
  EXPECT_TRUE(WaitFor([&] { return server_->connections() == 0; }));
  EXPECT_EQ(handler_.disconnected.size(), 1);
}

// The client disconnects in the middle of a streamed answer.
TEST_F(HttpServerTest, HangUpIsNoticedWhileTheAnswerStreams) {
  Listen({});
  RawCaller caller(server_->port());
  caller.Send(Post("{}"));
  ASSERT_TRUE(WaitFor([&] { return handler_.bodies.size() == 1; }));
  server_->StreamPart(1, "data: one\n\n");
  ASSERT_TRUE(WaitFor([&] { return caller.Sees("data: one"); }));
  caller.HangUp();
  ASSERT_TRUE(WaitFor([&] { return handler_.disconnected.size() == 1; }));
  EXPECT_TRUE(WaitFor([&] { return server_->connections() == 0; }));
}

// A pipelined request does not count as a disconnect: both are answered in
// order.
TEST_F(HttpServerTest, PipelinedRequestIsNoHangUp) {
  Listen({});
  RawCaller caller(server_->port());
  caller.Send(StrCat(Post("1"), Post("2")));
  ASSERT_TRUE(WaitFor([&] { return handler_.bodies.size() == 1; }));
  for (int n = 0; n < 20; ++n) {
    g_main_context_iteration(nullptr, FALSE);
  }
  EXPECT_TRUE(handler_.disconnected.empty());
  server_->Reply(1, {});
  ASSERT_TRUE(WaitFor([&] { return handler_.bodies.size() == 2; }));
  EXPECT_EQ(handler_.bodies[2], "2");
}

// When the node shuts down, its answers ask the load balancer to close the
// connection, so that the next request goes to another node.
TEST_F(HttpServerTest, LeavingServerAsksToClose) {
  Listen({});
  RawCaller caller(server_->port());
  caller.Send(Post("{}"));
  ASSERT_TRUE(WaitFor([&] { return handler_.bodies.size() == 1; }));
  server_->CloseConnections();
  server_->Reply(1, {});
  EXPECT_TRUE(WaitFor([&] { return caller.SeesClose(); }));
  EXPECT_TRUE(Contains(caller.received, "200"));
}

// A request arrives while the loop is busy for 50 ms. The handler can read its
// wait, so that the wait counts against the deadline.
TEST_F(HttpServerTest, WaitInTheLoopIsMeasured) {
  Listen({});
  RawCaller caller(server_->port());
  ASSERT_TRUE(WaitFor([&] { return server_->connections() == 1; }));
  DurationUs seen = -1;
  caller.Send(Post("{}"));
  loop_.After(0, [&] {
    g_usleep(50'000);
    loop_.After(0, [&] { seen = Loop::Now() - Loop::OldestEvent(); });
  });
  ASSERT_TRUE(WaitFor([&] { return seen >= 0; }));
  EXPECT_GE(seen, 50 * kMillisecond - kMillisecond);
}

}  // namespace
}  // namespace acaciachute
