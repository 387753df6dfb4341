// Writes one operator's change of a settings branch: checks the owner, updates
// the row by compare-and-set and adds a history row in the same transaction.
//
// If two operators race, the table accepts one change, and the other operator
// receives the version that won. If an answer is lost after its write took
// effect, the same transaction is written again under the same nonce: either it
// succeeds, and the lost one can no longer be applied, or the history row in
// the table carries the nonce, and the change was accepted. A rollback is a new
// version with an old body, because versions never decrease.
#ifndef ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_WRITE_H_
#define ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_WRITE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "state/settings.h"
#include "state/store.h"
#include "types.h"

namespace acaciachute {

inline constexpr std::string_view kSettingsPrefix = "settings/";
inline constexpr std::string_view kHistoryPrefix = "history/";
// Row whose version grows with every change of any branch, in the same
// transaction; a reader detects from this small row that nothing changed.
inline constexpr std::string_view kSettingsEpochKey = "settings_epoch";
// Maximum size of one branch; several fit into a frame between processes.
inline constexpr std::size_t kMaxBranchBytes = 1 << 20;

std::string SettingsRowKey(std::string_view branch);
// Versions are zero-padded, so that a scan returns them in order.
std::string HistoryRowKey(std::string_view branch, SettingsVersion version);

// An accepted change, as stored in its history row.
struct HistoryEntry {
  SettingsVersion version = 0;
  std::uint64_t nonce = 0;
  std::string team;
  std::string note;
  std::int64_t unix_ms = 0;  // By the operator's clock; informational only.
  std::string json;
};

std::string EncodeHistory(const HistoryEntry& entry);
absl::StatusOr<HistoryEntry> DecodeHistory(const StoreRow& row);
// Decodes a scan of `history/{branch}/`, the oldest entry first. Rows of
// branches below `branch` and unreadable rows are skipped.
std::vector<HistoryEntry> ReadHistory(std::string_view branch,
                                      const std::vector<StoreRow>& rows);

// Checks whether `team` may write `branch`. The owner of a branch owns the tree
// below it until a branch there names another owner; a new top-level branch
// belongs to the team that creates it. `rows` is a scan of `settings/`.
absl::Status CheckOwner(std::string_view team,
                        const Branch& branch,
                        const std::vector<StoreRow>& rows);

enum class WriteOutcome {
  kAccepted,
  kInvalid,
  kNotOwner,
  kLostRace,
  kUnavailable,  // Nothing was written.
  // The change may have been accepted; the history shows it later.
  kUnknown,
};
inline constexpr std::array<std::string_view, 6> kWriteOutcomeNames = {
    "accepted", "invalid", "not_owner", "lost_race", "unavailable", "unknown"};
constexpr std::string_view Name(WriteOutcome v) {
  return detail::NameIn(kWriteOutcomeNames, v);
}

struct SettingsChange {
  std::string branch;
  std::string team;
  std::string json;
  // Version that the operator edited; if unset, the version found.
  std::optional<SettingsVersion> base;
  // If set, the body of this version is taken from the history instead of
  // `json`.
  std::optional<SettingsVersion> roll_back_to;
  std::string note;
  std::int64_t unix_ms = 0;
};

struct SettingsWriteResult {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  // The accepted version or the one that won the race; zero if unknown.
  SettingsVersion version = 0;
  std::string detail;
};

// Yields one transaction after another until there is a result:
//
//   while (!write.result()) write.OnAnswer(table.Transact(write.Next()));
class SettingsWrite {
 public:
  // Maximum number of transactions without a result. A lost answer is rare and
  // a second loss for the same change rarer; eight attempts outlast a short
  // outage without blocking an operator for minutes.
  static constexpr int kMaxAttempts = 8;

  // `nonce` distinguishes this change from every other one.
  SettingsWrite(SettingsChange change, std::uint64_t nonce);

  std::vector<StoreOp> Next() const;
  void OnAnswer(const StoreAnswer& answer);
  const std::optional<SettingsWriteResult>& result() const { return result_; }

 private:
  void OnRead(const StoreAnswer& answer);
  void OnWritten(const StoreAnswer& answer);
  void OnConflict(const std::vector<StoreRow>& rows);
  void CountFailedAttempt();
  void End(WriteOutcome outcome, SettingsVersion version, std::string detail);

  SettingsChange change_;
  const std::uint64_t nonce_;
  // The read is done; the next transaction is the write.
  bool write_due_ = false;
  bool may_be_applied_ = false;
  int attempts_ = 0;
  SettingsVersion base_ = 0;
  std::uint64_t epoch_ = 0;
  std::optional<SettingsWriteResult> result_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_WRITE_H_
