// HTTP/1.1 towards replicas and the platform, over connections under the
// caller's control.
//
// Failure: a client library opens a second connection and sends a request again
// by itself when a kept connection turns out closed. Symptom: a request that
// must run once runs twice. Here a request is sent on one connection, once, and
// the caller is told whether any of it may have arrived. Bytes that no request
// asked for end their connection, and an answer that bears another request's id
// is passed over, so that no answer reaches the wrong request.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_CHANNELS_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_CHANNELS_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/http1.h"
#include "types.h"

namespace acaciachute {

class Loop;

enum class CallFailureKind { kConnect, kBroken, kTimeout, kBadAnswer };
inline constexpr std::array<std::string_view, 4> kCallFailureKindNames = {
    "connect", "broken", "timeout", "bad_answer"};
constexpr std::string_view Name(CallFailureKind v) {
  return detail::NameIn(kCallFailureKindNames, v);
}

struct CallFailure {
  CallFailureKind kind = CallFailureKind::kConnect;
  // Whether any byte may have reached the other side.
  bool sent = false;
  std::string reason;
};

class CallSink {
 public:
  virtual ~CallSink() = default;
  // The request left on a connection that was made for it.
  virtual void OnConnected(CallId id) { static_cast<void>(id); }
  virtual void OnAnswerHead(CallId id, const HttpAnswerHead& head) = 0;
  virtual void OnAnswerBody(CallId id, std::string_view bytes) = 0;
  // One of these ends the call, unless it is cancelled.
  virtual void OnAnswerEnd(CallId id) = 0;
  virtual void OnCallFailed(CallId id, const CallFailure& failure) = 0;
};

struct ChannelRequest {
  std::string method = "GET";
  std::string target;
  HttpFields fields;  // Without the body's length.
  std::string body;
  // A field that the answer must repeat, with its value.
  std::optional<HttpField> echo;
};

struct ChannelOptions {
  // A connection that has been idle for longer is not used for this request.
  DurationUs most_idle = 4 * kSecond;
  // Until the connection is made. Far above a round trip; a lost opening packet
  // is only sent again after a second.
  DurationUs connect = 500 * kMillisecond;
  // From the start to the answer's end; zero for none.
  DurationUs total = 0;
  // Idle connections to the address, this one included, that may stay open
  // after the answer.
  std::optional<std::size_t> most_kept;
};

class HttpChannels {
 public:
  // Idle connections kept a destination.
  static constexpr std::size_t kMostIdle = 64;

  explicit HttpChannels(Loop* loop);
  ~HttpChannels();
  HttpChannels(const HttpChannels&) = delete;
  HttpChannels& operator=(const HttpChannels&) = delete;

  // Callbacks come from the loop, never from inside this call.
  CallId Start(const Address& address,
               const ChannelRequest& request,
               const ChannelOptions& options,
               CallSink* sink);
  // Closes the call's connection. No callback follows.
  void Cancel(CallId id);
  // Stops or goes on reading the answer.
  void SetReading(CallId id, bool reading);
  // Idle connections to an address whose process is gone.
  void DropIdle(const Address& address);
  std::size_t open() const;
  std::uint64_t opened() const;  // Connections made since the start.

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_CHANNELS_H_
