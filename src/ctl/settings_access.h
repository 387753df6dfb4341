// Functions by which commands read and change branches of the settings tree.
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

// Reads all branches from the table. Branches that cannot be parsed are
// omitted.
absl::StatusOr<std::vector<Branch>> ReadBranches(const Command& command);
// Reads one branch. Its version is zero if it does not exist.
absl::StatusOr<Branch> ReadBranch(const Command& command,
                                  std::string_view name);
absl::StatusOr<std::vector<HistoryEntry>> ReadBranchHistory(
    const Command& command,
    std::string_view name);

// Writes the change and prints its outcome. With --dry-run, prints the
// differences that it would make and writes nothing.
ExitCode WriteChange(const Command& command, SettingsChange change);

ExitCode PrintReadError(const absl::Status& status);

// Returns the contents of a file, or an error that names its path.
absl::StatusOr<std::string> ReadTextFile(const std::string& path);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_CTL_SETTINGS_ACCESS_H_
