#include "state/replica_directory.h"

#include <algorithm>

#include "address_text.h"

namespace acaciachute {
namespace {

// Debian builds Abseil with a string view of its own.
absl::string_view KeyOf(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

bool ReplicaDirectory::PassedOver(ReplicaEntry* entry) const {
  const auto it = ended_.find(entry->id.name);
  if (it == ended_.end() || entry->id.incarnation == 0) {
    return false;
  }
  const Ended& ended = it->second;
  entry->leaving = entry->leaving ||
                   (entry->id.incarnation == ended.incarnation && ended.left);
  return entry->id.incarnation < ended.incarnation;
}

void ReplicaDirectory::List(const ReplicaEntry& entry) {
  const auto [it, inserted] = entries_.try_emplace(entry.id.name);
  Row& row = it->second;
  if (!inserted) {
    RemoveFromIndexes(&row);
    missing_.erase(entry.id.name);
  }
  row.entry = entry;
  row.unreadable = false;
  row.added = ++added_;
  AddToIndexes(&row);
}

void ReplicaDirectory::TellAdded(const ReplicaEntry& entry) {
  watcher_->OnReplica(entry, DirectoryChange::kAdded);
  if (entry.leaving) {
    watcher_->OnReplica(entry, DirectoryChange::kLeaving);
  }
}

// Another row of the same incarnation. Leaving is for good: an older row, read
// late, does not take it back.
void ReplicaDirectory::Update(Row* row, const ReplicaEntry& entry) {
  const ReplicaEntry before = row->entry;
  const bool was_unreadable = row->unreadable;
  RemoveFromIndexes(row);
  row->entry = entry;
  row->entry.leaving = before.leaving || entry.leaving;
  row->entry.cold_until = std::max(before.cold_until, entry.cold_until);
  row->entry.evacuation_ended_at = before.evacuation_ended_at;
  row->unreadable = false;
  missing_.erase(entry.id.name);
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

void ReplicaDirectory::Put(const ReplicaEntry& given) {
  ReplicaEntry entry = given;
  const auto it = entries_.find(entry.id.name);
  if (it == entries_.end()) {
    if (PassedOver(&entry)) {
      watcher_->OnReplica(entry, DirectoryChange::kOlderIncarnation);
      return;
    }
    List(entry);
    TellAdded(entry);
    return;
  }
  const Incarnation known = it->second.entry.id.incarnation;
  if (entry.id.incarnation == known) {
    Update(&it->second, entry);
  } else if (entry.id.incarnation == 0) {
    PutUnreadable(entry.id.name);  // Its own rows told the start.
  } else if (entry.id.incarnation < known) {
    watcher_->OnReplica(entry, DirectoryChange::kOlderIncarnation);
  } else {
    Restart(it->second.entry, entry);
  }
}

// The new incarnation is listed before anybody hears of the old one's end:
// whoever hears of it may choose a replica at once.
void ReplicaDirectory::Restart(const ReplicaEntry& known,
                               const ReplicaEntry& entry) {
  const ReplicaEntry before = known;  // Its row is written over.
  const bool told = before.id.incarnation != 0;
  List(entry);
  watcher_->OnReplica(
      before, told ? DirectoryChange::kRestarted : DirectoryChange::kGone);
  TellAdded(entry);
}

void ReplicaDirectory::PutUnreadable(const std::string& name) {
  const auto it = entries_.find(name);
  if (it == entries_.end() || it->second.unreadable) {
    return;
  }
  it->second.unreadable = true;
  Place(&it->second);
  watcher_->OnReplica(it->second.entry, DirectoryChange::kUnreadable);
}

void ReplicaDirectory::Remove(TimeUs now, const std::string& name) {
  const auto it = entries_.find(name);
  if (it == entries_.end()) {
    return;
  }
  if (!it->second.entry.leaving && (store_lost_ || now < keep_until_)) {
    if (missing_.insert(name).second) {
      watcher_->OnReplica(it->second.entry, DirectoryChange::kKeptInOutage);
    }
    return;
  }
  Erase(now, it);
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
  std::vector<std::string> gone;
  for (const auto& [name, row] : entries_) {
    if (!listed.contains(name)) {
      gone.push_back(name);
    }
  }
  std::sort(gone.begin(), gone.end());  // Logs and tests see one order.
  for (const auto& it : gone) {
    Remove(now, it);
  }
}

void ReplicaDirectory::OnStoreLost(TimeUs asked_at) {
  store_lost_ = true;
  store_lost_at_ = std::max(store_lost_at_, asked_at);
}

// Whether the store was away or just this host cut off is not known. A host
// that was cut off must have let go of what left before it counts as one that
// reaches the store.
void ReplicaDirectory::OnStoreBack(TimeUs now) {
  if (store_lost_) {
    store_lost_ = false;
    keep_until_ = std::min(now + kBackWithin, store_lost_at_ + most_kept_);
  }
}

void ReplicaDirectory::OnCurrent(TimeUs known_at) {
  known_at_ = std::max(known_at_, known_at);
}

void ReplicaDirectory::OnTick(TimeUs now) {
  if (now >= forget_ended_at_) {
    forget_ended_at_ = now + kSecond;
    std::erase_if(ended_, [now](const auto& it) {
      return now - it.second.at > kRememberEnded;
    });
  }
  if (missing_.empty() || store_lost_ || now < keep_until_) {
    return;
  }
  std::vector<std::string> gone(missing_.begin(), missing_.end());
  std::sort(gone.begin(), gone.end());
  for (const auto& name : gone) {
    // Whoever was told of the one before may have had this one listed again.
    if (missing_.contains(name)) {
      Erase(now, entries_.find(name));
    }
  }
}

void ReplicaDirectory::Evacuate(const std::string& domain) {
  evacuated_.insert(domain);
  for (auto& [name, row] : entries_) {
    Place(&row);
  }
}

void ReplicaDirectory::EndEvacuation(TimeUs now, const std::string& domain) {
  evacuated_.erase(domain);
  for (auto& [name, row] : entries_) {
    if (row.entry.domain == domain) {
      row.entry.evacuation_ended_at = now;
      Place(&row);
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
  return it == services_.end() ? none : it->second.taking;
}

const ReplicaEntry* ReplicaDirectory::Find(const ReplicaId& id) const {
  const Row* row = RowOf(id);
  return row == nullptr ? nullptr : &row->entry;
}

// An address that two rows name, as when it is used again or another writer
// names it too, belongs to the one that takes work, or else to the first.
const ReplicaEntry* ReplicaDirectory::ProducerOf(
    std::string_view handle) const {
  const auto it = by_address_.find(KeyOf(handle.substr(0, handle.find('/'))));
  if (it == by_address_.end()) {
    return nullptr;
  }
  const auto claim = [this](const Row* row) {
    return std::pair(!Takes(*row), row->added);
  };
  const Row* owner = *std::min_element(
      it->second.begin(), it->second.end(),
      [&](const Row* a, const Row* b) { return claim(a) < claim(b); });
  return &owner->entry;
}

bool ReplicaDirectory::TakesWork(const ReplicaId& id) const {
  const Row* row = RowOf(id);
  return row != nullptr && Takes(*row);
}

const ReplicaDirectory::Row* ReplicaDirectory::RowOf(
    const ReplicaId& id) const {
  const auto it = entries_.find(id.name);
  const bool same = it != entries_.end() && it->second.entry.id == id;
  return same ? &it->second : nullptr;
}

bool ReplicaDirectory::Takes(const Row& row) const {
  return !row.entry.leaving && !row.unreadable &&
         !evacuated_.contains(row.entry.domain) &&
         (row.entry.id.incarnation != 0 ||
          services_.at(row.entry.service).incarnations_told == 0);
}

void ReplicaDirectory::Erase(TimeUs now, Rows::iterator it) {
  const ReplicaEntry entry = it->second.entry;
  // First: whoever is told may choose another replica at once.
  RemoveFromIndexes(&it->second);
  missing_.erase(entry.id.name);
  entries_.erase(it);
  if (entry.id.incarnation != 0) {
    ended_[entry.id.name] = {entry.id.incarnation, entry.leaving, now};
  }
  watcher_->OnReplica(entry, DirectoryChange::kGone);
}

void ReplicaDirectory::AddToIndexes(Row* row) {
  row->address = AddressText(row->entry.address);
  by_address_[row->address].push_back(row);
  ServiceRows& service = services_[row->entry.service];
  if (row->entry.id.incarnation == 0) {
    service.untold.insert(row);
  } else if (service.incarnations_told++ == 0) {
    for (Row* it : service.untold) {
      Place(it);
    }
  }
  Place(row);
}

void ReplicaDirectory::RemoveFromIndexes(Row* row) {
  const auto address = by_address_.find(row->address);
  std::erase(address->second, row);
  if (address->second.empty()) {
    by_address_.erase(address);
  }
  Unplace(row);
  const auto service = services_.find(row->entry.service);
  ServiceRows& rows = service->second;
  if (row->entry.id.incarnation == 0) {
    rows.untold.erase(row);
  } else if (--rows.incarnations_told == 0) {
    for (Row* it : rows.untold) {
      Place(it);
    }
  }
  if (rows.incarnations_told == 0 && rows.untold.empty()) {
    services_.erase(service);
  }
}

void ReplicaDirectory::Place(Row* row) {
  if (!Takes(*row)) {
    Unplace(row);
  } else if (!row->taking) {
    ServiceRows& service = services_.at(row->entry.service);
    row->taking = true;
    row->position = service.rows.size();
    service.rows.push_back(row);
    service.taking.push_back(&row->entry);
  }
}

// The last one takes its position.
void ReplicaDirectory::Unplace(Row* row) {
  if (!row->taking) {
    return;
  }
  ServiceRows& service = services_.at(row->entry.service);
  Row* last = service.rows.back();
  last->position = row->position;
  service.rows[row->position] = last;
  service.taking[row->position] = &last->entry;
  service.rows.pop_back();
  service.taking.pop_back();
  row->taking = false;
}

}  // namespace acaciachute
