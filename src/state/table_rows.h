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

// A named part of the value of a split row. See
// `coordination/tables/split_row.h`.
struct RowPart {
  std::string name;
  std::string text;
  bool removed = false;
  bool operator==(const RowPart&) const = default;
};

// What a gateway holds of a split row.
struct SplitRowPosition {
  std::uint64_t version = 0;  // Of the row; zero: none.
  // The pages of a later version that were received so far: the version that
  // their changes refer to, the version that they lead to (zero: there are
  // none) and the name of the last part.
  std::uint64_t page_base = 0;
  std::uint64_t page_version = 0;
  std::string last_part;
};

// A number of changed parts of a split row, in order of their names.
struct SplitRowPage {
  // The version of the row that the changes refer to; zero: all parts follow.
  std::uint64_t base = 0;
  std::uint64_t version = 0;  // The version that the changes lead to.
  bool continues = false;     // The page follows those received before.
  bool truncated = false;     // More pages follow.
  std::string last_part;
  std::vector<RowPart> parts;
};

struct TableAnswer {
  enum class Kind {
    kRows,
    kHistoryTruncated,  // The store no longer has all changes since that
                        // version.
    kFailed,
    kStoreLost,  // Another gateway answered that it cannot reach the store.
  };
  Kind kind = Kind::kFailed;
  std::vector<TableRow> rows;
  bool truncated = false;     // There are more rows after the last key.
  std::uint64_t version = 0;  // Version of the store, not of one table.
  std::string why;            // The reason, if the request failed.
  // What arrived was no answer, so that it came says nothing about the table.
  bool malformed = false;
  // Changes of the table's split row, if a gateway answered.
  std::optional<SplitRowPage> split_row;
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
