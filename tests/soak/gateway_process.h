// One gateway as a process of its own, with the settings file that the platform
// would lay down.
#ifndef ACACIACHUTE_TESTS_SOAK_GATEWAY_PROCESS_H_
#define ACACIACHUTE_TESTS_SOAK_GATEWAY_PROCESS_H_

#include <gio/gio.h>

#include <memory>
#include <string>

#include "transport/glib_ptr.h"
#include "types.h"

namespace acaciachute {

struct GatewayProcessOptions {
  std::string name;
  std::string domain = "a";
  Address store;
  std::string log;  // A file; empty drops what the process writes.
};

class GatewayProcess {
 public:
  explicit GatewayProcess(const GatewayProcessOptions& options);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Addresses stay over restarts.
  void Start();
  void Signal(int signal);
  // Whether the process has ended, by itself or by a signal.
  bool Ended() const;
  // Whether it ended by itself with success; due after `Ended`.
  bool ExitedCleanly() const;
  // Processor time used so far, user and system.
  DurationUs ProcessorTime() const;
  // Resident memory.
  std::uint64_t MemoryBytes() const;
  const Address& clients() const { return clients_; }
  const Address& readiness() const { return readiness_; }

 private:
  std::string ProcFile(const std::string& name) const;

  const GatewayProcessOptions options_;
  const Address clients_;
  const Address readiness_;
  std::string file_;
  GPtr<GSubprocess> process_;
  std::string pid_;
  std::shared_ptr<bool> ended_ = std::make_shared<bool>(false);
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_GATEWAY_PROCESS_H_
