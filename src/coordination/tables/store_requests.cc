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
  Sent sent;
  sent.id = next_id_++;
  sent.query = query;
  sent.sent_at = now;
  requests_.push_back(std::move(sent));
  store_->SendRequest({table_, requests_.back().id, std::move(query),
                       answer_timeout, kAnswerAcceptTimeout});
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
  if (AwaitedRequest() == nullptr) {
    return std::nullopt;
  }
  Sent& sent = requests_.back();
  const std::size_t received = store_->ReceivedBytes(table_, sent.id);
  if (received >= sent.received_bytes + kMinProgressBytes) {
    sent.received_bytes = received;
    sent.progress_at = now;
  }
  const TimeUs waits_since =
      std::max(sent.sent_at + sent.query.wait, sent.progress_at);
  if (now - waits_since < timeout) {
    return std::nullopt;
  }
  sent.received_bytes = received;
  sent.awaited = false;
  return sent;
}

bool StoreRequests::IsReceiving() const {
  const Sent* const awaited = AwaitedRequest();
  return awaited != nullptr && awaited->received_bytes > 0;
}

}  // namespace acaciachute
