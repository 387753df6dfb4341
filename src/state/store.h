// What the core asks of the platform's table and what it may learn.
#ifndef ACACIACHUTE_SRC_STATE_STORE_H_
#define ACACIACHUTE_SRC_STATE_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace acaciachute {

enum class StoreOpKind { kRead, kScan, kInsert, kUpdate };

// One step of a transaction. `kInsert` holds when the row is absent, `kUpdate`
// when it stands at `version`; `kScan` reads every row under the key prefix.
struct StoreOp {
  StoreOpKind kind = StoreOpKind::kRead;
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

struct StoreRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;  // Zero: there is no such row.
};

// `kUnknown` is the dangerous one: no answer came, the write may stand or may
// still land. `kUnavailable` says that the platform refused before any effect.
enum class StoreStatus { kOk, kConflict, kUnavailable, kUnknown };

// All steps of a transaction hold, or none does. On `kConflict`, `rows` has
// the current row of each step that did not hold.
struct StoreAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreRow> rows;
};

using StoreTicket = std::uint64_t;

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_STORE_H_
