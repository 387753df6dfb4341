#include "coordination/tables/store_requests.h"

#include <algorithm>
#include <utility>

namespace acaciachute {

StoreRequests::StoreRequests(std::string table, StoreReader* store)
    : table_(std::move(table)), store_(store) {}

void StoreRequests::SendRequest(TimeUs now, TableQuery query) {
  if (!requests_.empty()) {
    requests_.back().awaited = false;
  }
  if (requests_.size() == kMaxInFlight) {
    store_->CancelRequest(table_, requests_[1].id);
    requests_.erase(requests_.begin() + 1);
  }
  const DurationUs answer_timeout = query.wait + kAnswerAcceptTimeout;
  requests_.push_back({next_id_++, query, now, true});
  store_->SendRequest(
      {table_, requests_.back().id, std::move(query), answer_timeout});
}

std::optional<StoreRequests::Sent> StoreRequests::RemoveRequest(
    std::uint64_t id) {
  const auto it =
      std::find_if(requests_.begin(), requests_.end(),
                   [id](const Sent& sent) { return sent.id == id; });
  if (it == requests_.end()) {
    return std::nullopt;
  }
  Sent sent = std::move(*it);
  requests_.erase(it);
  return sent;
}

const StoreRequests::Sent* StoreRequests::AwaitedRequest() const {
  return !requests_.empty() && requests_.back().awaited ? &requests_.back()
                                                        : nullptr;
}

std::optional<StoreRequests::Sent> StoreRequests::TimeOutAwaited(
    TimeUs now,
    DurationUs timeout) {
  const Sent* const awaited = AwaitedRequest();
  if (awaited == nullptr ||
      now - awaited->sent_at < awaited->query.wait + timeout) {
    return std::nullopt;
  }
  Sent& sent = requests_.back();
  sent.awaited = false;
  sent.received_bytes = store_->ReceivedBytes(table_, sent.id);
  return sent;
}

}  // namespace acaciachute
