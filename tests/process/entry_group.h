// Entries alone around one platform, all named in the settings: what is needed
// to follow a change of settings through real processes.
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

class EntryGroup {
 public:
  // Starts the processes and writes branch "ops", which names the entries.
  EntryGroup(std::string bin_dir, int entries);
  ~EntryGroup();

  // Changes the branch as the operators' tool does; the version, or zero.
  SettingsVersion Change();
  void Fault(const std::string& json);
  // Starts entry `n` again under its name and port.
  void StartEntry(int n);

  // An upstream with its sidecar, in pool "generators"; the next change names
  // it. With `keeps_fence` false it ignores fencing numbers.
  void StartReplica(bool keeps_fence);
  // The model that the pool is to have from the next change on.
  void SetModel(const std::string& version) { model_version_ = version; }
  // "version@fence" of each order that upstream `n` carried out.
  std::vector<std::string> OrdersAt(int n);
  // Entry that holds the pool's lease, or -1.
  int Holder();

  bool Ready(int n);
  SettingsVersion VersionAt(int n);
  bool AllReady();
  // Entries that have `version` or a later one.
  int Having(SettingsVersion version);
  // False after `timeout`.
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
