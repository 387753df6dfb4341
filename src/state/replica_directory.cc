#include "state/replica_directory.h"

#include <set>

#include "address_text.h"

namespace acaciachute {

void ReplicaDirectory::Put(const ReplicaEntry& entry) {
  const auto it = entries_.find(entry.id);
  if (it == entries_.end()) {
    entries_[entry.id].entry = entry;
    Rebuild();
    watcher_->OnReplica(entry, DirectoryChange::kAdded);
    if (entry.leaving) {
      watcher_->OnReplica(entry, DirectoryChange::kLeaving);
    }
    return;
  }
  // Leaving is for good: an older row, read late, does not take it back.
  const bool was_leaving = it->second.entry.leaving;
  it->second.entry = entry;
  it->second.entry.leaving = was_leaving || entry.leaving;
  it->second.missing = false;
  Rebuild();
  if (entry.leaving && !was_leaving) {
    watcher_->OnReplica(entry, DirectoryChange::kLeaving);
  }
}

void ReplicaDirectory::Remove(TimeUs now, const ReplicaId& id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return;
  }
  if (!it->second.entry.leaving && (store_lost_ || now < keep_until_)) {
    if (!it->second.missing) {
      it->second.missing = true;
      watcher_->OnReplica(it->second.entry, DirectoryChange::kKeptInOutage);
    }
    return;
  }
  Erase(it);
}

void ReplicaDirectory::Replace(TimeUs now,
                               const std::vector<ReplicaEntry>& entries) {
  std::set<ReplicaId> listed;
  for (const auto& it : entries) {
    listed.insert(it.id);
    Put(it);
  }
  std::vector<ReplicaId> gone;
  for (const auto& [id, row] : entries_) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    Remove(now, id);
  }
}

void ReplicaDirectory::OnStoreBack(TimeUs now) {
  if (store_lost_) {
    store_lost_ = false;
    keep_until_ = now + kBackWithin;
  }
}

void ReplicaDirectory::OnTick(TimeUs now) {
  if (store_lost_ || now < keep_until_) {
    return;
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto next = std::next(it);
    if (it->second.missing) {
      Erase(it);
    }
    it = next;
  }
}

const std::vector<const ReplicaEntry*>& ReplicaDirectory::Of(
    std::string_view service) const {
  static const std::vector<const ReplicaEntry*> none;
  const auto it = by_service_.find(service);
  return it == by_service_.end() ? none : it->second;
}

const ReplicaEntry* ReplicaDirectory::Find(const ReplicaId& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.entry;
}

const ReplicaEntry* ReplicaDirectory::MakerOf(std::string_view handle) const {
  const auto it = by_address_.find(handle.substr(0, handle.find('/')));
  return it == by_address_.end() ? nullptr : it->second;
}

bool ReplicaDirectory::TakesWork(const ReplicaId& id) const {
  const ReplicaEntry* it = Find(id);
  return it != nullptr && !it->leaving;
}

void ReplicaDirectory::Erase(std::map<ReplicaId, Row>::iterator it) {
  const ReplicaEntry entry = it->second.entry;
  entries_.erase(it);
  Rebuild();  // First: whoever is told may choose another replica at once.
  watcher_->OnReplica(entry, DirectoryChange::kGone);
}

void ReplicaDirectory::Rebuild() {
  by_service_.clear();
  by_address_.clear();
  for (const auto& [id, row] : entries_) {
    by_address_[AddressText(row.entry.address)] = &row.entry;
    if (!row.entry.leaving) {
      by_service_[row.entry.service].push_back(&row.entry);
    }
  }
}

}  // namespace acaciachute
