// HTTP/1.1 client for calls to replicas and the platform, with connection reuse
// under the caller's control.
//
// General client libraries open a second connection and resend a request by
// themselves when a kept connection turns out to be closed, so that a request
// that must run once runs twice. Here a request is sent at most once, on one
// connection, and a failure states whether any byte of it may have been sent.
//
// A server may send an answer a second time, late, when the next one is
// expected. An answer is therefore delivered to a call only if nothing else can
// have caused it: it carries the call's id, and its connection carried that id
// once, or the call is the first one on its connection. A connection whose last
// answer carried no id is not used again, as a second copy could not be told
// from the answer to the next call, unless all its calls are alike.
//
// Bytes that lead to no answer may come without end. Each buffer has a bound,
// and so have the bytes that are read and discarded; past it the connection is
// closed and the call fails.
#ifndef ACACIACHUTE_SRC_TRANSPORT_HTTP_CHANNELS_H_
#define ACACIACHUTE_SRC_TRANSPORT_HTTP_CHANNELS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/http1.h"
#include "state/shared_bytes.h"
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
  // Whether any byte of the request may have reached the server.
  bool sent = false;
  std::string reason;
};

class CallSink {
 public:
  virtual ~CallSink() = default;
  // The call's new connection is established and the request is sent. Not
  // called when an idle connection is reused.
  virtual void OnConnected(CallId id) { static_cast<void>(id); }
  virtual void OnAnswerHead(CallId id, const HttpAnswerHead& head) = 0;
  virtual void OnAnswerBody(CallId id, std::string_view bytes) = 0;
  // Unless the call is cancelled, it ends with exactly one call of
  // `OnAnswerEnd` or `OnCallFailed`.
  // `end` is never `kBroken`: that is a failure.
  virtual void OnAnswerEnd(CallId id, AnswerEnd end) = 0;
  virtual void OnCallFailed(CallId id, const CallFailure& failure) = 0;
};

// Something that a server sent and that no call was given.
struct ChannelEvent {
  enum class Kind { kForeignAnswer, kUnaskedBytes };
  Kind kind = Kind::kForeignAnswer;
  Address address;
  std::string expected;  // The call's id; empty without a call.
  std::string received;  // The answer's id; empty if it carries none.
};
inline constexpr std::array<std::string_view, 2> kChannelEventNames = {
    "foreign_answer", "unasked_bytes"};
constexpr std::string_view Name(ChannelEvent::Kind v) {
  return detail::NameIn(kChannelEventNames, v);
}

struct ChannelRequest {
  std::string method = "GET";
  std::string target;
  HttpFields fields;  // Without Content-Length, which is added.
  SharedBytes body;
  // The id of the call: one of `fields`, which the server repeats in its
  // answer. Attempts of one client request may share it.
  std::optional<HttpField> echo;
  // For calls without an id whose answers all mean the same, such as "done":
  // the kind of these calls. A late copy of one answer may then pass for
  // another, so they share connections among themselves, and with no others.
  std::string alike;
};

// Far above the answers that acknowledge something.
inline constexpr std::size_t kMaxSmallBodyBytes = 64 << 10;
inline constexpr std::size_t kUnlimitedBodyBytes = 0;

struct ChannelOptions {
  // Maximum idle time of a connection that is reused for this request.
  DurationUs max_idle_time = 4 * kSecond;
  // Time limit for connecting. Far above a round trip, but shorter than the
  // second after which a lost SYN packet is retransmitted.
  DurationUs connect = 500 * kMillisecond;
  // Time limit from the start of the call to the end of the answer; zero for no
  // limit.
  DurationUs total = 0;
  // If not zero, the time limit moves on with each byte of the answer: it is
  // never less than this after the last one.
  DurationUs progress = 0;
  // Maximum length of the body. For answers that are collected; who passes
  // bytes on as they arrive bounds what it holds, and sets no limit here.
  std::size_t max_body_bytes = kMaxSmallBodyBytes;
  // Maximum number of idle connections to the address, including this one, that
  // are kept after the answer; `kMaxIdlePerAddress` if not set.
  std::optional<std::size_t> max_kept;
};

class HttpChannels {
 public:
  // Maximum number of idle connections kept per address.
  static constexpr std::size_t kMaxIdlePerAddress = 64;
  // Maximum number of calls on one connection, whose ids are remembered.
  static constexpr std::size_t kMaxCallsPerConnection = 256;
  // Maximum number and bytes of answers to other calls that one call reads and
  // discards: a few late copies, one of them of the longest answer.
  static constexpr std::size_t kMaxForeignAnswers = 16;
  static constexpr std::size_t kMaxForeignBytes = 8 << 20;

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
  // The same, if no byte of the request was sent. Returns whether the call was
  // cancelled.
  bool CancelIfUnsent(CallId id);
  // Pauses or resumes reading the answer.
  void SetReading(CallId id, bool reading);
  // `handle` is called, from the loop, when something is received that is given
  // to no call.
  void SetEventHandler(std::function<void(const ChannelEvent&)> handle);
  // `lost` is called, from the loop, when the other side ended the last
  // connection to an address, or refused one while none was open.
  void SetLostHandler(std::function<void(const Address&)> lost);
  // `first` is called, from the loop, when a connection to an address was made
  // while none was open, before anything is read from it.
  void SetFirstHandler(std::function<void(const Address&)> first);
  // Closes the idle connections to an address, whose process has ended.
  void DropIdle(const Address& address);
  std::size_t open() const;      // Open connections.
  std::uint64_t opened() const;  // Connections opened since construction.

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_HTTP_CHANNELS_H_
