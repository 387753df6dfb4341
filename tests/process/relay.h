// A link between two processes of a test that can be frozen or cut.
#ifndef ACACIACHUTE_TESTS_PROCESS_RELAY_H_
#define ACACIACHUTE_TESTS_PROCESS_RELAY_H_

#include <cstdint>
#include <memory>

namespace acaciachute {

// Forwards TCP and UDP between a port of its own and `target_port`, both on
// loopback, from the loop of the test.
class Relay {
 public:
  explicit Relay(std::uint16_t target_port);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  std::uint16_t port() const;
  // Closes every connection and every new one until `Mend`.
  void Cut();
  // Holds back what comes, with connections left open, until `Mend`. What was
  // held back is then delivered; datagrams are lost.
  void Freeze();
  void Mend();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_PROCESS_RELAY_H_
