#include "coordination/tables/store_requests.h"

#include <algorithm>
#include <utility>

namespace acaciachute {

StoreRequests::StoreRequests(std::string table, StoreReader* store)
    : table_(std::move(table)), store_(store) {}

void StoreRequests::Ask(TimeUs now, TableQuery query) {
  if (!sent_.empty()) {
    sent_.back().awaited = false;
  }
  if (sent_.size() == kMost) {
    store_->Forget(table_, sent_[1].id);
    sent_.erase(sent_.begin() + 1);
  }
  const DurationUs heard_for = query.wait + kHeard;
  sent_.push_back({next_id_++, query, now, true});
  store_->Ask({table_, sent_.back().id, std::move(query), heard_for});
}

std::optional<StoreRequests::Sent> StoreRequests::Take(std::uint64_t id) {
  const auto it =
      std::find_if(sent_.begin(), sent_.end(),
                   [id](const Sent& sent) { return sent.id == id; });
  if (it == sent_.end()) {
    return std::nullopt;
  }
  Sent sent = std::move(*it);
  sent_.erase(it);
  return sent;
}

const StoreRequests::Sent* StoreRequests::Awaited() const {
  return !sent_.empty() && sent_.back().awaited ? &sent_.back() : nullptr;
}

std::optional<StoreRequests::Sent> StoreRequests::GiveUp(TimeUs now,
                                                         DurationUs in_time) {
  const Sent* const awaited = Awaited();
  if (awaited == nullptr ||
      now - awaited->asked_at < awaited->query.wait + in_time) {
    return std::nullopt;
  }
  sent_.back().awaited = false;
  return sent_.back();
}

}  // namespace acaciachute
