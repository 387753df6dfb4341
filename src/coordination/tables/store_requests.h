// What the store was asked for one table and has not answered yet.
//
// Failure: the store answers everything, but late, or a request is lost with
// its connection. Symptom: a host that hears only one answer at a time either
// gives up a slow store, whose answers it never takes, or asks again only when
// the lost request's time is over. So a request is no longer awaited after
// `FreshnessPlan::store_in_time`, or when a newer one takes its place, but its
// answer is taken until `kHeard`.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_STORE_REQUESTS_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_STORE_REQUESTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// The whole table from the key `from` on, or the changes after a version, for
// which the store may be asked to wait.
struct TableQuery {
  bool whole = false;
  std::string from;
  std::uint64_t after = 0;
  DurationUs wait = 0;
};

struct StoreRequest {
  std::string table;
  std::uint64_t id = 0;  // Unique for the table.
  TableQuery query;
  // Within which an answer is of use, from when it is asked.
  DurationUs heard_for = 0;
};

class StoreReader {
 public:
  virtual ~StoreReader() = default;
  // One answer follows each under its table and id, also on a timeout.
  virtual void Ask(const StoreRequest& request) = 0;
  // No answer follows any more.
  virtual void Forget(const std::string& table, std::uint64_t id) = 0;
};

class StoreRequests {
 public:
  static constexpr DurationUs kHeard = 3 * kSecond;
  // In progress at once. Beyond it the oldest, which a slow store answers
  // first, and the newest are kept.
  static constexpr std::size_t kMost = 3;

  struct Sent {
    std::uint64_t id = 0;
    TableQuery query;
    TimeUs asked_at = 0;
    bool awaited = true;
  };

  StoreRequests(std::string table, StoreReader* store);

  // In place of the one that is awaited, if there is one.
  void Ask(TimeUs now, TableQuery query);
  // The request that this is the answer to; none when it was forgotten.
  std::optional<Sent> Take(std::uint64_t id);
  // The one that is awaited; null when there is none.
  const Sent* Awaited() const;
  // The one that was awaited, when it has been unanswered for `in_time` beyond
  // what the store was asked to wait.
  std::optional<Sent> GiveUp(TimeUs now, DurationUs in_time);

 private:
  const std::string table_;
  StoreReader* const store_;
  std::uint64_t next_id_ = 1;
  std::vector<Sent> sent_;  // By age; only the last one may be awaited.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_STORE_REQUESTS_H_
