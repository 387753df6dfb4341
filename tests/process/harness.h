// Starts the real programs and the stand-ins on loopback, for the demo and the
// process tests. Ports are ephemeral, waits are on conditions, and only
// processes that it started are ended.
#ifndef ACACIACHUTE_TESTS_PROCESS_HARNESS_H_
#define ACACIACHUTE_TESTS_PROCESS_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/process/relay.h"
#include "transport/http_client.h"
#include "transport/loop.h"

namespace acaciachute {

// One started program. Ended by SIGKILL when it goes out of scope.
class Process {
 public:
  // Waits for the line with its ports.
  Process(const std::string& program, const std::vector<std::string>& args);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  std::uint16_t http_port() const;
  std::uint16_t frame_port() const;
  std::string url() const;  // Of its HTTP side.
  int pid() const;          // Zero after its end.
  void Signal(int signal);
  bool Running() const;
  // Exit status, or -1 when a signal ended it; waits for the end.
  int Wait();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// What a program that ends by itself printed.
struct ProgramResult {
  int exit_code = -1;
  std::string output;
  std::string errors;
};
ProgramResult RunProgram(const std::string& program,
                         const std::vector<std::string>& args);

struct PoolSpec {
  std::string name;
  std::string kind;
  int replicas = 1;
  int service_ms = 5;
  int slots = 4;
};

// A call that goes on while the test does something else.
struct StartedCall {
  bool done = false;
  HttpResult result;
};
using StartedCallPtr = std::shared_ptr<StartedCall>;

// A platform, upstreams with sidecars, and entries, with one event "round"
// that runs through all pools in order. The account is "office".
class Deployment {
 public:
  // With `relays`, links that can be cut lie before each sidecar, each upstream
  // and the platform of entry 0.
  Deployment(std::string bin_dir,
             std::vector<PoolSpec> pools,
             int entries,
             bool relays = false);
  ~Deployment();

  HttpResult Call(const HttpRequest& request);
  StartedCallPtr Start(const HttpRequest& request);
  // False when one of `calls` has no end within `timeout`.
  bool WaitDone(const std::vector<StartedCallPtr>& calls, DurationUs timeout);
  HttpResult Get(const std::string& url);
  HttpResult Post(const std::string& url, const std::string& body);
  // A request of event "round" at entry `n`.
  HttpRequest EventRequest(int entry, const std::string& body);

  // Runs the loop until `condition` holds; false after `timeout`.
  bool WaitFor(const std::function<bool()>& condition, DurationUs timeout);
  // All entries ready and every replica known to them.
  bool WaitReady();
  // Runs that upstreams of all pools logged for bodies that contain `text`.
  int RunsOf(const std::string& text);

  // Orders faults of a stand-in.
  void Fault(const Process& standin, const std::string& json);

  void WriteSettings();
  void StartEntry(int n);
  void StartSidecar(const std::string& node);

  std::unique_ptr<Process> platform;
  std::map<std::string, std::unique_ptr<Process>> upstreams;
  std::map<std::string, std::unique_ptr<Process>> sidecars;
  std::vector<std::unique_ptr<Process>> entries;
  std::map<std::string, std::unique_ptr<Relay>> sidecar_links;
  std::map<std::string, std::unique_ptr<Relay>> upstream_links;
  std::unique_ptr<Relay> platform_link;

  static constexpr char kToken[] = "office.token";
  static constexpr char kFrameKey[] = "0123456789abcdef0123456789abcdef";
  const std::string bin_dir;

 private:
  std::string WriteNodeFile(const std::string& node, const std::string& json);

  struct Slot {
    std::string pool;
    std::uint16_t port = 0;
  };
  const std::vector<PoolSpec> pools_;
  const bool relays_;
  std::map<std::string, Slot> slots_;
  std::string dir_;
  Loop loop_;
  HttpClient client_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_PROCESS_HARNESS_H_
