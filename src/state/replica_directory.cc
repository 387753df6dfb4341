#include "state/replica_directory.h"

#include <algorithm>
#include <utility>

#include "address_text.h"

namespace acaciachute {
namespace {

// Converts to Abseil's string view, which in Debian's build of Abseil is a
// different type from `std::string_view`.
absl::string_view KeyOf(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

bool ReplicaDirectory::ApplyEnded(ReplicaEntry* entry) const {
  const auto it = ended_.find(entry->id.name);
  if (it == ended_.end()) {
    return false;
  }
  const EndedIncarnation& ended = it->second;
  entry->leaving =
      entry->leaving ||
      (entry->id.incarnation == ended.incarnation && ended.announced_leaving);
  return entry->id.incarnation != 0 &&
         entry->id.incarnation < ended.incarnation;
}

void ReplicaDirectory::Insert(const ReplicaEntry& entry) {
  const auto [it, inserted] = entries_.try_emplace(entry.id.name);
  Row& row = it->second;
  if (!inserted) {
    RemoveFromIndexes(&row);
    retained_.erase(entry.id.name);
  }
  row.entry = entry;
  row.unreadable = false;
  row.added = ++added_;
  AddToIndexes(&row);
}

void ReplicaDirectory::NotifyAdded(const ReplicaEntry& entry) {
  watcher_->OnReplica(entry, DirectoryChange::kAdded);
  if (entry.leaving) {
    watcher_->OnReplica(entry, DirectoryChange::kLeaving);
  }
  std::vector<ReplicaEntry> superseded;
  if (const auto it = by_address_.find(AddressText(entry.address));
      it != by_address_.end()) {
    for (const Row* row : it->second) {
      if (row->entry.superseded) {
        superseded.push_back(row->entry);
      }
    }
  }
  for (const ReplicaEntry& it : superseded) {
    watcher_->OnReplica(it, DirectoryChange::kSuperseded);
  }
}

// Applies another row of the same incarnation. Leaving is final: an older row
// that is read late does not revert it.
void ReplicaDirectory::Update(Row* row, const ReplicaEntry& entry) {
  const ReplicaEntry before = row->entry;
  const bool was_unreadable = row->unreadable;
  RemoveFromIndexes(row);
  row->entry = entry;
  row->entry.leaving = before.leaving || entry.leaving;
  row->entry.cold_until = std::max(before.cold_until, entry.cold_until);
  row->entry.evacuation_ended_at = before.evacuation_ended_at;
  row->unreadable = false;
  retained_.erase(entry.id.name);
  AddToIndexes(row);
  if (was_unreadable) {
    watcher_->OnReplica(entry, DirectoryChange::kReadable);
  }
  if (entry.leaving && !before.leaving) {
    watcher_->OnReplica(entry, DirectoryChange::kLeaving);
  }
  if (entry.orders < before.orders) {
    watcher_->OnReplica(entry, DirectoryChange::kCountFell);
  }
}

void ReplicaDirectory::Put(const ReplicaEntry& row_entry) {
  ReplicaEntry entry = row_entry;
  const auto it = entries_.find(entry.id.name);
  if (it == entries_.end()) {
    if (ApplyEnded(&entry)) {
      watcher_->OnReplica(entry, DirectoryChange::kOlderIncarnation);
      return;
    }
    Insert(entry);
    NotifyAdded(entry);
    return;
  }
  const Incarnation known = it->second.entry.id.incarnation;
  if (entry.id.incarnation == known) {
    Update(&it->second, entry);
  } else if (entry.id.incarnation == 0) {
    // A replica's own rows have an incarnation, so another writer wrote this
    // one.
    PutUnreadable(entry.id.name);
  } else if (entry.id.incarnation < known) {
    watcher_->OnReplica(entry, DirectoryChange::kOlderIncarnation);
  } else {
    Restart(it->second.entry, entry);
  }
}

// Inserts the new incarnation before it reports the end of the previous one,
// because the watcher may choose a replica during that call.
void ReplicaDirectory::Restart(const ReplicaEntry& known,
                               const ReplicaEntry& entry) {
  const ReplicaEntry before = known;  // A copy: `Insert` overwrites `known`.
  const bool has_start = before.id.incarnation != 0;
  Insert(entry);
  watcher_->OnReplica(before, has_start ? DirectoryChange::kRestarted
                                        : DirectoryChange::kRemoved);
  NotifyAdded(entry);
}

void ReplicaDirectory::PutUnreadable(const std::string& name) {
  const auto it = entries_.find(name);
  if (it == entries_.end() || it->second.unreadable) {
    return;
  }
  it->second.unreadable = true;
  UpdateEligible(&it->second);
  watcher_->OnReplica(it->second.entry, DirectoryChange::kUnreadable);
}

void ReplicaDirectory::Remove(TimeUs now, const std::string& name) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) {
    return;
  }
  if (!it->second.entry.leaving && (store_lost_ || now < retain_until_)) {
    if (retained_.insert(name).second) {
      watcher_->OnReplica(it->second.entry, DirectoryChange::kKeptInOutage);
    }
    return;
  }
  Erase(now, it);
}

LeavingOutcome ReplicaDirectory::OnLeavingStated(TimeUs now,
                                                 const ReplicaId& id) {
  const auto it = entries_.find(id.name);
  if (it != entries_.end() && it->second.entry.id == id) {
    return MarkLeaving(&it->second);
  }
  if (it != entries_.end() &&
      it->second.entry.id.incarnation > id.incarnation) {
    return LeavingOutcome::kKnown;
  }
  EndedIncarnation& ended = ended_[id.name];
  if (ended.incarnation > id.incarnation) {
    return LeavingOutcome::kKnown;
  }
  const bool known =
      ended.incarnation == id.incarnation && ended.announced_leaving;
  ended = {id.incarnation, true, now};
  return known ? LeavingOutcome::kKnown : LeavingOutcome::kNotListed;
}

LeavingOutcome ReplicaDirectory::MarkLeaving(Row* row) {
  if (row->entry.leaving) {
    return LeavingOutcome::kKnown;
  }
  row->entry.leaving = true;
  UpdateEligible(row);
  watcher_->OnReplica(row->entry, DirectoryChange::kLeaving);
  return LeavingOutcome::kLearned;
}

void ReplicaDirectory::Replace(TimeUs now,
                               const std::vector<ReplicaEntry>& entries,
                               const std::vector<std::string>& unreadable) {
  absl::flat_hash_set<std::string> listed(unreadable.begin(), unreadable.end());
  for (const auto& it : entries) {
    listed.insert(it.id.name);
    Put(it);
  }
  for (const auto& it : unreadable) {
    PutUnreadable(it);
  }
  std::vector<std::string> removed;
  for (const auto& [name, row] : entries_) {
    if (!listed.contains(name)) {
      removed.push_back(name);
    }
  }
  std::sort(removed.begin(), removed.end());  // Makes the order deterministic.
  for (const auto& it : removed) {
    Remove(now, it);
  }
}

void ReplicaDirectory::OnStoreLost(TimeUs asked_at) {
  store_lost_ = true;
  store_lost_at_ = std::max(store_lost_at_, asked_at);
}

// A host cannot distinguish an outage of the store from being cut off itself.
// In the second case it must drop replicas that left before it counts as a host
// that reaches the store, hence the limit `max_retention_`.
void ReplicaDirectory::OnStoreRecovered(TimeUs now) {
  if (store_lost_) {
    store_lost_ = false;
    retain_until_ =
        std::min(now + kRelistTime, store_lost_at_ + max_retention_);
  }
}

void ReplicaDirectory::OnCurrent(TimeUs known_at) {
  known_at_ = std::max(known_at_, known_at);
}

void ReplicaDirectory::OnTick(TimeUs now) {
  if (now >= next_ended_cleanup_at_) {
    next_ended_cleanup_at_ = now + kSecond;
    std::erase_if(ended_, [now](const auto& it) {
      return now - it.second.removed_at > kEndedRetention;
    });
  }
  if (retained_.empty() || store_lost_ || now < retain_until_) {
    return;
  }
  std::vector<std::string> removed(retained_.begin(), retained_.end());
  std::sort(removed.begin(), removed.end());
  for (const auto& name : removed) {
    // The watcher may have inserted this entry again during a previous `Erase`.
    if (retained_.contains(name)) {
      Erase(now, entries_.find(name));
    }
  }
}

void ReplicaDirectory::Evacuate(const std::string& domain) {
  evacuated_.insert(domain);
  for (auto& [name, row] : entries_) {
    UpdateEligible(&row);
  }
}

void ReplicaDirectory::EndEvacuation(TimeUs now, const std::string& domain) {
  evacuated_.erase(domain);
  for (auto& [name, row] : entries_) {
    if (row.entry.domain == domain) {
      row.entry.evacuation_ended_at = now;
      UpdateEligible(&row);
    }
  }
}

std::size_t ReplicaDirectory::CountIn(std::string_view domain) const {
  const auto n = std::count_if(
      entries_.begin(), entries_.end(),
      [&](const auto& it) { return it.second.entry.domain == domain; });
  return static_cast<std::size_t>(n);
}

const std::vector<const ReplicaEntry*>& ReplicaDirectory::Of(
    std::string_view service) const {
  static const std::vector<const ReplicaEntry*> none;
  const auto it = services_.find(KeyOf(service));
  return it == services_.end() ? none : it->second.eligible;
}

const ReplicaEntry* ReplicaDirectory::Find(const ReplicaId& id) const {
  const Row* row = RowOf(id);
  return row == nullptr ? nullptr : &row->entry;
}

// Several rows may name the same address, if it was reassigned or if another
// writer wrote one of them. It is attributed to an eligible row if there is
// one, and among equals to the one that was listed first.
const ReplicaEntry* ReplicaDirectory::ProducerOf(
    std::string_view handle) const {
  const auto it = by_address_.find(KeyOf(handle.substr(0, handle.find('/'))));
  if (it == by_address_.end()) {
    return nullptr;
  }
  const auto order = [this](const Row* row) {
    return std::pair(!IsEligible(*row), row->added);
  };
  const Row* owner = *std::min_element(
      it->second.begin(), it->second.end(),
      [&](const Row* a, const Row* b) { return order(a) < order(b); });
  return &owner->entry;
}

const ReplicaEntry* ReplicaDirectory::FindAt(const Address& address) const {
  return ProducerOf(AddressText(address));
}

bool ReplicaDirectory::TakesWork(const ReplicaId& id) const {
  const Row* row = RowOf(id);
  return row != nullptr && IsEligible(*row);
}

const ReplicaDirectory::Row* ReplicaDirectory::RowOf(
    const ReplicaId& id) const {
  const auto it = entries_.find(id.name);
  const bool same = it != entries_.end() && it->second.entry.id == id;
  return same ? &it->second : nullptr;
}

bool ReplicaDirectory::IsEligible(const Row& row) const {
  return !row.entry.leaving && !row.unreadable &&
         !evacuated_.contains(row.entry.domain) &&
         (row.entry.id.incarnation != 0 ||
          services_.at(row.entry.service).rows_with_incarnation == 0);
}

void ReplicaDirectory::Erase(TimeUs now, Rows::iterator it) {
  const ReplicaEntry entry = it->second.entry;
  // Before the notification, because the watcher may choose a replica in it.
  RemoveFromIndexes(&it->second);
  retained_.erase(entry.id.name);
  entries_.erase(it);
  if (entry.id.incarnation != 0 || entry.leaving) {
    ended_[entry.id.name] = {entry.id.incarnation, entry.leaving, now};
  }
  watcher_->OnReplica(entry, DirectoryChange::kRemoved);
}

void ReplicaDirectory::AddToIndexes(Row* row) {
  row->address = AddressText(row->entry.address);
  std::vector<Row*>& same_address = by_address_[row->address];
  same_address.push_back(row);
  MarkSuperseded(same_address);
  ServiceRows& service = services_[row->entry.service];
  if (row->entry.id.incarnation == 0) {
    service.without_incarnation.insert(row);
  } else if (service.rows_with_incarnation++ == 0) {
    for (Row* it : service.without_incarnation) {
      UpdateEligible(it);
    }
  }
  UpdateEligible(row);
}

void ReplicaDirectory::RemoveFromIndexes(Row* row) {
  const auto address = by_address_.find(row->address);
  std::erase(address->second, row);
  MarkSuperseded(address->second);
  if (address->second.empty()) {
    by_address_.erase(address);
  }
  RemoveFromEligible(row);
  const auto service = services_.find(row->entry.service);
  ServiceRows& rows = service->second;
  if (row->entry.id.incarnation == 0) {
    rows.without_incarnation.erase(row);
  } else if (--rows.rows_with_incarnation == 0) {
    for (Row* it : rows.without_incarnation) {
      UpdateEligible(it);
    }
  }
  if (rows.rows_with_incarnation == 0 && rows.without_incarnation.empty()) {
    services_.erase(service);
  }
}

// Rows that state their start are compared by it, others by the order in which
// they were listed. Only one process has an address, but the row of the one
// before stays until it expires.
void ReplicaDirectory::MarkSuperseded(const std::vector<Row*>& rows) {
  const auto started_before = [](const Row& a, const Row& b) {
    const Incarnation start = a.entry.id.incarnation;
    const Incarnation other = b.entry.id.incarnation;
    const bool known = start != 0 && other != 0 && start != other;
    return known ? start < other : a.added < b.added;
  };
  for (Row* row : rows) {
    row->entry.superseded =
        std::any_of(rows.begin(), rows.end(),
                    [&](const Row* it) { return started_before(*row, *it); });
  }
}

void ReplicaDirectory::UpdateEligible(Row* row) {
  if (!IsEligible(*row)) {
    RemoveFromEligible(row);
  } else if (!row->eligible) {
    ServiceRows& service = services_.at(row->entry.service);
    row->eligible = true;
    row->position = service.rows.size();
    service.rows.push_back(row);
    service.eligible.push_back(&row->entry);
  }
}

// Fills the gap with the last element, so that the removal takes constant time.
void ReplicaDirectory::RemoveFromEligible(Row* row) {
  if (!row->eligible) {
    return;
  }
  ServiceRows& service = services_.at(row->entry.service);
  Row* last = service.rows.back();
  last->position = row->position;
  service.rows[row->position] = last;
  service.eligible[row->position] = &last->entry;
  service.rows.pop_back();
  service.eligible.pop_back();
  row->eligible = false;
}

}  // namespace acaciachute
