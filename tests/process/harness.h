// Starts the real programs and the stand-ins on loopback, for the demo and the
// process tests. Ports are ephemeral, tests wait for conditions instead of
// fixed times, and only processes that the harness started are killed.
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

// One started program. The destructor kills it with SIGKILL.
class Process {
 public:
  // Starts the program and waits for the line with its ports on its stdout.
  Process(const std::string& program, const std::vector<std::string>& args);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  std::uint16_t http_port() const;
  std::uint16_t frame_port() const;
  std::string url() const;  // Base URL of its HTTP port.
  int pid() const;          // Zero after the process has ended.
  void Signal(int signal);
  bool Running() const;
  // Waits for the process to end. Returns its exit status, or -1 when a signal
  // ended it.
  int Wait();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Exit code, stdout and stderr of a program that ended.
struct ProgramResult {
  int exit_code = -1;
  std::string output;
  std::string errors;
};
// Runs a program until it exits.
ProgramResult RunProgram(const std::string& program,
                         const std::vector<std::string>& args);

// One pool of a deployment and its stand-in upstreams.
struct PoolSpec {
  std::string name;
  std::string kind;
  int replicas = 1;
  int service_ms = 5;  // Time of one run.
  int slots = 4;       // Runs at once in one upstream.
};

// An HTTP call in progress; `result` is valid once `done` is true.
struct StartedCall {
  bool done = false;
  HttpResult result;
};
using StartedCallPtr = std::shared_ptr<StartedCall>;

// A complete deployment: a platform, upstreams with sidecars, and entries. Its
// settings define one event, "round", whose stages are all pools in order, and
// one client account, "office".
class Deployment {
 public:
  // With `relays`, the connections to each sidecar, to each upstream and from
  // entry 0 to the platform go through relays that can be cut.
  Deployment(std::string bin_dir,
             std::vector<PoolSpec> pools,
             int entries,
             bool relays = false);
  ~Deployment();

  // Sends a request and waits for its answer.
  HttpResult Call(const HttpRequest& request);
  // Sends a request without waiting for its answer.
  StartedCallPtr Start(const HttpRequest& request);
  // Waits until all `calls` are done; returns false after `timeout`.
  bool WaitDone(const std::vector<StartedCallPtr>& calls, DurationUs timeout);
  HttpResult Get(const std::string& url);
  HttpResult Post(const std::string& url, const std::string& body);
  // Builds a request of event "round" to entry `entry`.
  HttpRequest EventRequest(int entry, const std::string& body);

  // Runs the loop until `condition` holds; returns false after `timeout`.
  bool WaitFor(const std::function<bool()>& condition, DurationUs timeout);
  // Waits until all entries know every replica as ready; returns false after a
  // time-out.
  bool WaitReady();
  // Number of runs, over all upstreams, whose request body contains `text`.
  int RunsOf(const std::string& text);

  // Sets faults of a stand-in; `json` is the body of POST /faults.
  void InjectFaults(const Process& standin, const std::string& json);

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
  // Writes the settings file of a process and returns its path.
  std::string WriteNodeFile(const std::string& node, const std::string& json);

  // A replica; its port is kept when its sidecar restarts.
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
