// The requests to the store for one table that are not answered yet.
//
// The time that an answer takes to arrive grows with the table and with the
// load on the link. If it counted against a fixed time limit, a large table
// would never arrive: each host gave the transfer up and began it again. So the
// limit is on the time until the answer begins, and then on the time without
// progress.
//
// A store may answer every request late, or a request may be lost with its
// connection. A host that accepts the answer to one request only would then
// either abandon the requests to a slow store, whose answers it would never
// use, or ask again only after the time limit of the lost request. So a request
// is no longer awaited after `FreshnessPlan::store_timeout`, or when a newer
// one replaces it, but its answer is accepted until `kAnswerAcceptTimeout`.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_STORE_REQUESTS_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_STORE_REQUESTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "types.h"

namespace acaciachute {

// Reads either the complete table from the key `from` on, or the changes after
// the version `after`. The store may be asked to hold a request for changes for
// `wait`.
struct TableQuery {
  bool complete_table = false;
  std::string from;
  std::uint64_t after = 0;
  DurationUs wait = 0;
};

struct StoreRequest {
  std::string table;
  std::uint64_t id = 0;  // Unique for the table.
  TableQuery query;
  // Time limit for the answer's first byte, counted from when the request is
  // sent, and between any two bytes of it.
  DurationUs answer_timeout = 0;
  DurationUs progress_timeout = 0;
};

class StoreReader {
 public:
  virtual ~StoreReader() = default;
  // Sends the request. Exactly one answer follows, with the same table and id,
  // also after a time-out.
  virtual void SendRequest(const StoreRequest& request) = 0;
  // Number of bytes of the answer's body that have arrived so far.
  virtual std::size_t ReceivedBytes(const std::string& table,
                                    std::uint64_t id) const = 0;
  // Cancels the request: no answer follows.
  virtual void CancelRequest(const std::string& table, std::uint64_t id) = 0;
};

class StoreRequests {
 public:
  // Time limit for the store's answer, counted from the end of the time for
  // which the store was asked to hold the request.
  static constexpr DurationUs kAnswerAcceptTimeout = 3 * kSecond;
  // Number of bytes that have to arrive in a time limit for an answer to count
  // as on its way.
  static constexpr std::size_t kMinProgressBytes = 4 << 10;
  // Largest number of requests in flight. Beyond it the oldest, which a slow
  // store answers first, and the newest are kept.
  static constexpr std::size_t kMaxInFlight = 3;

  struct Sent {
    std::uint64_t id = 0;
    TableQuery query;
    TimeUs sent_at = 0;
    bool awaited = true;
    // Bytes of the answer that had arrived at `progress_at`.
    std::size_t received_bytes = 0;
    TimeUs progress_at = 0;
  };

  StoreRequests(std::string table, StoreReader* store);

  // Sends a request, which replaces the awaited one if there is one.
  void SendRequest(TimeUs now, TableQuery query);
  // Removes and returns the request with this id; empty if it was cancelled.
  std::optional<Sent> RemoveRequest(std::uint64_t id);
  // The awaited request; null if there is none.
  const Sent* AwaitedRequest() const;
  // Whether the answer to the awaited request has begun to arrive.
  bool IsReceiving() const;
  // If nothing of the answer to the awaited request has arrived for `timeout`,
  // beyond the time for which the store was asked to hold it, the request is no
  // longer awaited and is returned.
  std::optional<Sent> TimeOutAwaited(TimeUs now, DurationUs timeout);

 private:
  const std::string table_;
  StoreReader* const store_;
  std::uint64_t next_id_ = 1;
  // Oldest first; only the last one may be awaited.
  std::vector<Sent> requests_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_STORE_REQUESTS_H_
