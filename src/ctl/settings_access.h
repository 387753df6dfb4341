// Reads and changes branches of the settings tree for the commands.
#ifndef ACACIACHUTE_SRC_CTL_SETTINGS_ACCESS_H_
#define ACACIACHUTE_SRC_CTL_SETTINGS_ACCESS_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "coordination/settings/settings_write.h"
#include "ctl/command.h"
#include "state/settings.h"

namespace acaciachute {

// All branches as the table has them now.
absl::StatusOr<std::vector<Branch>> ReadBranches(const Command& command);
// Version zero: there is no such branch.
absl::StatusOr<Branch> ReadBranch(const Command& command,
                                  std::string_view name);
absl::StatusOr<std::vector<HistoryEntry>> ReadBranchHistory(
    const Command& command,
    std::string_view name);

// Writes the change and says how it ended; with --dry-run only what it would
// change.
ExitCode WriteChange(const Command& command, SettingsChange change);

ExitCode ComplainUnavailable(const absl::Status& status);

// Text of a file, or an error with its path.
absl::StatusOr<std::string> ReadTextFile(const std::string& path);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_SETTINGS_ACCESS_H_
