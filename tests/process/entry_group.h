// Starts a group of real entries on one stand-in platform, for process tests of
// settings changes and leases.
#ifndef ACACIACHUTE_TESTS_PROCESS_ENTRY_GROUP_H_
#define ACACIACHUTE_TESTS_PROCESS_ENTRY_GROUP_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "state/store.h"
#include "tests/process/harness.h"
#include "types.h"

namespace acaciachute {

// The entries are listed in the settings branch "ops". Replicas can be added.
class EntryGroup {
 public:
  // Starts the processes and writes branch "ops", which lists the entries.
  EntryGroup(std::string bin_dir, int entries);
  ~EntryGroup();

  // Writes a new version of branch "ops" as the operators' tool does. Returns
  // the version, or zero when the change was not accepted.
  SettingsVersion Change();
  // Sets faults of the stand-in platform; `json` is the body of POST /faults.
  void InjectFaults(const std::string& json);
  // Starts entry `n`; on a restart it keeps its name and port.
  void StartEntry(int n);

  // Starts an upstream and its sidecar in pool "generators"; the next change of
  // settings lists them. With `keeps_fence` false the upstream ignores fencing
  // numbers.
  void StartReplica(bool keeps_fence);
  // Sets the model version of the pool in the next change of settings.
  void SetModel(const std::string& version) { model_version_ = version; }
  // Control orders that upstream `n` executed, each as "version@fence".
  std::vector<std::string> ExecutedOrdersAt(int n);
  // Index of the entry that holds the lease of pool "generators", or -1.
  int LeaseHolder();

  // Whether entry `n` reports itself ready.
  bool Ready(int n);
  // Version of branch "ops" that entry `n` has applied; zero when none.
  SettingsVersion VersionAt(int n);
  bool AllReady();
  // Number of entries that have applied `version` or a later one.
  int CountAtVersion(SettingsVersion version);
  // Runs the loop until `condition` holds; returns false after `timeout`.
  bool WaitFor(const std::function<bool()>& condition, DurationUs timeout);

  std::unique_ptr<Process> platform;
  std::vector<std::unique_ptr<Process>> entries;
  std::vector<std::unique_ptr<Process>> upstreams;
  std::vector<std::unique_ptr<Process>> sidecars;

 private:
  HttpResult Call(const HttpRequest& request);
  HttpResult Get(const std::string& url);
  StoreAnswer Transact(const std::vector<StoreOp>& ops);
  std::string BranchJson() const;

  const std::string bin_dir_;
  std::string dir_;
  std::vector<std::uint16_t> ports_;
  std::string model_version_;
  int changes_ = 0;
  Loop loop_;
  HttpClient client_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_PROCESS_ENTRY_GROUP_H_
