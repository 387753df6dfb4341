// A relay between two processes of a test, to inject network faults.
#ifndef ACACIACHUTE_TESTS_PROCESS_RELAY_H_
#define ACACIACHUTE_TESTS_PROCESS_RELAY_H_

#include <cstdint>
#include <memory>

namespace acaciachute {

// Forwards TCP and UDP from its own port to `target_port`, both on loopback.
// Runs on the event loop of the test.
class Relay {
 public:
  explicit Relay(std::uint16_t target_port);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::uint16_t port() const;
  // Closes all connections, and each new one at once, until `Restore`.
  void Cut();
  // Keeps connections open but forwards nothing until `Restore`. Bytes of
  // connections are then delivered; datagrams are dropped.
  void Freeze();
  // Ends `Cut` or `Freeze`.
  void Restore();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_PROCESS_RELAY_H_
