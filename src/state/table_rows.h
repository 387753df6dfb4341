// Rows of the store's tables, and answers to requests for them.
#ifndef ACACIACHUTE_SRC_STATE_TABLE_ROWS_H_
#define ACACIACHUTE_SRC_STATE_TABLE_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

struct TableRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool removed = false;
};

struct TableAnswer {
  enum class Kind {
    kRows,
    kHistoryGone,  // The store no longer has all changes since that version.
    kFailed,
    kStoreLost,  // Another gateway answered that it cannot reach the store.
  };
  Kind kind = Kind::kFailed;
  std::vector<TableRow> rows;
  bool truncated = false;     // There are more rows after the last key.
  std::uint64_t version = 0;  // Version of the store, not of one table.
  std::string why;            // The reason, if the request failed.
  // The store's monotonic clock when it answered, if the answer has it.
  std::optional<TimeUs> store_time;
  // The time up to which the answer reflects the store, relative to when the
  // request was sent, by the requester's clock. It is negative if the answering
  // gateway had its rows from before the request. Nullopt: the answer reports
  // no changes and does not confirm any later time.
  std::optional<DurationUs> known_after = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_TABLE_ROWS_H_
