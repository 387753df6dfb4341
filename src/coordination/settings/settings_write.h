// One operator's change of a settings branch: owner checked, compare-and-set,
// history row in the same transaction.
//
// Two operators race: the table takes one change, and the other is told the
// version that won. An answer is lost after its write took effect: the same
// transaction is written again under the same nonce. Either it holds, and the
// lost one no longer can, or the history row that stands carries the nonce and
// the change is ours. A rollback is a new version with an old body, because a
// version never goes down anywhere.
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
// Grows with every change of any branch, in the same transaction, so that a
// reader learns from one small row that nothing changed.
inline constexpr std::string_view kSettingsEpochKey = "settings_epoch";
// Bound on one branch; several fit into a frame between processes.
inline constexpr std::size_t kMaxBranchBytes = 1 << 20;

std::string SettingsRowKey(std::string_view branch);
// Versions are padded, so that a scan gives them in order.
std::string HistoryRowKey(std::string_view branch, SettingsVersion version);

// One accepted change, as its history row keeps it.
struct HistoryEntry {
  SettingsVersion version = 0;
  std::uint64_t nonce = 0;
  std::string team;
  std::string note;
  std::int64_t unix_ms = 0;  // The operator's clock; for people only.
  std::string json;
};

std::string EncodeHistory(const HistoryEntry& entry);
absl::StatusOr<HistoryEntry> DecodeHistory(const StoreRow& row);
// Reads a scan of `history/{branch}/`, oldest first; rows of branches below
// `branch` and rows that cannot be read are passed over.
std::vector<HistoryEntry> ReadHistory(std::string_view branch,
                                      const std::vector<StoreRow>& rows);

// Whether `team` may write `branch`. The owner of a branch owns the tree below
// it until a branch there names another owner; a new branch at the top belongs
// to the team that creates it. `rows` are those of a scan of `settings/`.
absl::Status CheckOwner(std::string_view team,
                        const Branch& branch,
                        const std::vector<StoreRow>& rows);

enum class WriteOutcome {
  kAccepted,
  kInvalid,
  kNotOwner,
  kLostRace,
  kUnavailable,  // Nothing was written.
  kUnknown,      // May have been accepted; the history tells later.
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
  // Version that the operator edited; without it, the one found.
  std::optional<SettingsVersion> base;
  // Takes the body from the history instead of `json`.
  std::optional<SettingsVersion> roll_back_to;
  std::string note;
  std::int64_t unix_ms = 0;
};

struct SettingsWriteResult {
  WriteOutcome outcome = WriteOutcome::kUnknown;
  // Accepted, or the one that won the race; zero when not known.
  SettingsVersion version = 0;
  std::string detail;
};

// Hands out one transaction after another until there is a result:
//   while (!write.result()) write.OnAnswer(table.Transact(write.Next()));
class SettingsWrite {
 public:
  // A lost answer is rare and a second loss of the same change rarer; eight
  // tries outlast a short outage without holding an operator for minutes.
  static constexpr int kMaxTries = 8;

  // `nonce` tells this change from every other.
  SettingsWrite(SettingsChange change, std::uint64_t nonce);

  std::vector<StoreOp> Next() const;
  void OnAnswer(const StoreAnswer& answer);
  const std::optional<SettingsWriteResult>& result() const { return result_; }

 private:
  void OnRead(const StoreAnswer& answer);
  void OnWritten(const StoreAnswer& answer);
  void OnConflict(const std::vector<StoreRow>& rows);
  void CountTry();
  void End(WriteOutcome outcome, SettingsVersion version, std::string detail);

  SettingsChange change_;
  const std::uint64_t nonce_;
  bool read_ = false;  // The write is due.
  bool may_have_landed_ = false;
  int tries_ = 0;
  SettingsVersion base_ = 0;
  std::uint64_t epoch_ = 0;
  std::optional<SettingsWriteResult> result_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_WRITE_H_
