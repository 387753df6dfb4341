// Transactions on the platform's table, and their possible outcomes.
#ifndef ACACIACHUTE_SRC_STATE_STORE_H_
#define ACACIACHUTE_SRC_STATE_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace acaciachute {

enum class StoreOpKind { kRead, kScan, kInsert, kUpdate };

// One operation of a transaction. `kInsert` requires that the row is absent,
// and `kUpdate` that its version is `version`. `kScan` reads every row whose
// key begins with `key`.
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

// `kUnknown`: no answer was received, so the write may have been applied or may
// still be applied later. `kUnavailable`: the platform refused the transaction
// and nothing was written.
enum class StoreStatus { kOk, kConflict, kUnavailable, kUnknown };

// Transactions are atomic. On `kConflict` no operation was applied, and `rows`
// has the current row of each operation whose condition failed.
struct StoreAnswer {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreRow> rows;
};

using StoreTicket = std::uint64_t;

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_STORE_H_
