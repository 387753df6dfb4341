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
    kHistoryGone,  // Changes since that version are no longer kept.
    kFailed,
    kStoreLost,  // From another gateway: it does not reach the store either.
  };
  Kind kind = Kind::kFailed;
  std::vector<TableRow> rows;
  bool truncated = false;     // More rows follow the last key.
  std::uint64_t version = 0;  // Of the whole store.
  std::string why;            // When failed.
  // The store's steady clock when it answered, if it told.
  std::optional<TimeUs> store_time;
  // The rows are all that the store held at this time after the request was
  // sent, by the asker's clock; negative when whoever answers knew it before.
  // None: there was no news, and nothing says how old that is.
  std::optional<DurationUs> known_after = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_TABLE_ROWS_H_
