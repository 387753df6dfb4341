// A client of one long stream that takes it up, at any gateway, each time it
// was broken off, and the record of what it got.
#ifndef ACACIACHUTE_TESTS_SOAK_VERSION_CLIENT_H_
#define ACACIACHUTE_TESTS_SOAK_VERSION_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "state/random.h"
#include "tests/soak/raw_client.h"
#include "transport/loop.h"

namespace acaciachute {

// What a client that takes its stream up names in `Resumes`.
enum class NamedAttempt {
  kFirst,    // The attempt that brought the first event.
  kTakeUp,   // The last one that took it up, if one did, else the first.
  kUnknown,  // One that nobody sent.
  kNone,
};
const char* NameOf(NamedAttempt it);

struct VersionEvent {
  std::string version;  // Of the replica that wrote it.
  std::size_t at_try = 0;
  TimeUs at = 0;
};

struct VersionTry {
  std::string attempt;
  std::size_t gateway = 0;
  TimeUs sent_at = 0;
  bool takes_up = false;  // Some events had arrived before.
  bool decided = false;   // It brought an event, or ended.
  bool went_on = false;   // It brought an event.
  std::string refusal;    // Status and reason; empty if it went on.
};

struct VersionStream {
  std::string name;
  int size = 0;  // Events of the whole stream.
  int next = 0;  // The event that is to come next.
  // Each try has a deadline of its own; else all share one.
  bool own_deadlines = true;
  NamedAttempt names = NamedAttempt::kFirst;
  std::vector<VersionTry> tries;
  std::vector<VersionEvent> events;
  std::vector<std::string> problems;  // Events missing, doubled or misshaped.

  bool whole() const { return next >= size; }
};

class VersionClient {
 public:
  // `route`: where its gateways take requests. `on_decided` is called when a
  // try brought its first event or ended without one.
  using DecidedHandler =
      std::function<void(const VersionStream&, const VersionTry&)>;
  VersionClient(Loop* loop,
                std::string name,
                std::vector<Address> gateways,
                std::uint64_t seed,
                DecidedHandler on_decided);

  const VersionStream& stream() const { return stream_; }
  // Whether it has the whole stream or has given up.
  bool done() const { return done_; }
  // The deadline of a stream, or of each of its tries.
  static constexpr DurationUs kDeadline = 10 * kSecond;

 private:
  void Send();
  std::string HeadOf(const VersionTry& it, DurationUs left) const;
  void ReadEvents();
  void ReadEvent(std::string_view text);
  void Decide();
  void Watch();
  void EndTry();
  void Wait();

  Loop* const loop_;
  const std::vector<Address> gateways_;
  const DecidedHandler on_decided_;
  Random random_;
  VersionStream stream_;
  std::size_t last_take_up_ = 0;  // The last try that brought an event.
  TimeUs deadline_ = 0;           // Of this try.
  TimeUs last_bytes_at_ = 0;
  std::unique_ptr<RawClient> channel_;
  std::size_t read_ = 0;  // Bytes of this try's body.
  bool done_ = false;
  const std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_VERSION_CLIENT_H_
