// Runs one gateway process with the settings file that the platform would
// provide.
#ifndef ACACIACHUTE_TESTS_SOAK_GATEWAY_PROCESS_H_
#define ACACIACHUTE_TESTS_SOAK_GATEWAY_PROCESS_H_

#include <gio/gio.h>

#include <memory>
#include <string>

#include "state/host_settings.h"
#include "transport/glib_ptr.h"
#include "types.h"

namespace acaciachute {

struct GatewayProcessOptions {
  std::string name;
  std::string domain = "a";  // Failure domain.
  Address store;
  ServiceRetryBudgetLimits retries;
  // Of the process; zero: not stated.
  std::uint64_t memory_megabytes = 0;
  std::uint32_t max_descriptors = 0;
  std::string log;  // File for its stdout; empty: output is dropped.
};

class GatewayProcess {
 public:
  explicit GatewayProcess(const GatewayProcessOptions& options);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Starts the process, also after its end. It keeps its addresses.
  void Start();
  void Signal(int signal);
  // Changes the grace period in the settings file, as the platform may while
  // the process runs.
  void SetGrace(int seconds);
  // Whether the process has exited or was killed by a signal.
  bool Ended() const;
  // Whether the process exited with status 0; call only after `Ended`.
  bool ExitedCleanly() const;
  // User and system CPU time of the process so far.
  DurationUs ProcessorTime() const;
  int pid() const;
  // Resident memory of the process.
  std::uint64_t MemoryBytes() const;
  // The highest that it ever was.
  std::uint64_t PeakMemoryBytes() const;
  const Address& clients() const { return clients_; }
  const Address& readiness() const { return readiness_; }

 private:
  void WriteSettings(int grace_seconds) const;
  std::string ReadProcFile(const std::string& name) const;

  const GatewayProcessOptions options_;
  const Address clients_;
  const Address readiness_;
  const Address peers_;
  std::string file_;
  GPtr<GSubprocess> process_;
  std::string pid_;
  std::shared_ptr<bool> ended_ = std::make_shared<bool>(false);
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_GATEWAY_PROCESS_H_
