#include "state/replica_directory.h"

#include <set>

#include "address_text.h"

namespace acaciachute {

bool ReplicaDirectory::PassedOver(ReplicaEntry* entry) const {
  const auto it = ended_.find(entry->id.name);
  if (it == ended_.end() || entry->id.life == 0) {
    return false;
  }
  const Ended& ended = it->second;
  entry->leaving =
      entry->leaving || (entry->id.life == ended.life && ended.left);
  return entry->id.life < ended.life;
}

void ReplicaDirectory::List(const ReplicaEntry& entry) {
  entries_[entry.id.name] = {entry, false, false, ++added_};
  Rebuild();
}

void ReplicaDirectory::TellAdded(const ReplicaEntry& entry) {
  watcher_->OnReplica(entry, DirectoryChange::kAdded);
  if (entry.leaving) {
    watcher_->OnReplica(entry, DirectoryChange::kLeaving);
  }
}

// Another row of the same life. Leaving is for good: an older row, read late,
// does not take it back.
void ReplicaDirectory::Update(Row* row, const ReplicaEntry& entry) {
  const ReplicaEntry before = row->entry;
  const bool was_unreadable = row->unreadable;
  row->entry = entry;
  row->entry.leaving = before.leaving || entry.leaving;
  row->missing = false;
  row->unreadable = false;
  Rebuild();
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
      watcher_->OnReplica(entry, DirectoryChange::kOlderLife);
      return;
    }
    List(entry);
    TellAdded(entry);
    return;
  }
  const Incarnation known = it->second.entry.id.life;
  if (entry.id.life == known) {
    Update(&it->second, entry);
  } else if (entry.id.life == 0) {
    PutUnreadable(entry.id.name);  // Its own rows told the start.
  } else if (entry.id.life < known) {
    watcher_->OnReplica(entry, DirectoryChange::kOlderLife);
  } else {
    Restart(it->second.entry, entry);
  }
}

// The new life is listed before anybody hears of the old one's end: whoever
// hears of it may choose a replica at once.
void ReplicaDirectory::Restart(const ReplicaEntry& known,
                               const ReplicaEntry& entry) {
  const ReplicaEntry before = known;  // Its row is written over.
  const bool told = before.id.life != 0;
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
  Rebuild();
  watcher_->OnReplica(it->second.entry, DirectoryChange::kUnreadable);
}

void ReplicaDirectory::Remove(TimeUs now, const std::string& name) {
  const auto it = entries_.find(name);
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
  Erase(now, it);
}

void ReplicaDirectory::Replace(TimeUs now,
                               const std::vector<ReplicaEntry>& entries,
                               const std::vector<std::string>& unreadable) {
  std::set<std::string> listed(unreadable.begin(), unreadable.end());
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
  for (const auto& it : gone) {
    Remove(now, it);
  }
}

void ReplicaDirectory::OnStoreBack(TimeUs now) {
  if (store_lost_) {
    store_lost_ = false;
    keep_until_ = now + kBackWithin;
  }
}

void ReplicaDirectory::OnTick(TimeUs now) {
  std::erase_if(ended_, [now](const auto& it) {
    return now - it.second.at > kRememberEnded;
  });
  if (store_lost_ || now < keep_until_) {
    return;
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    const auto next = std::next(it);
    if (it->second.missing) {
      Erase(now, it);
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
  const Row* row = RowOf(id);
  return row == nullptr ? nullptr : &row->entry;
}

const ReplicaEntry* ReplicaDirectory::MakerOf(std::string_view handle) const {
  const auto it = by_address_.find(handle.substr(0, handle.find('/')));
  return it == by_address_.end() ? nullptr : &it->second->entry;
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
         (row.entry.id.life != 0 || !lives_told_.contains(row.entry.service));
}

void ReplicaDirectory::Erase(TimeUs now, Rows::iterator it) {
  const ReplicaEntry entry = it->second.entry;
  entries_.erase(it);
  if (entry.id.life != 0) {
    ended_[entry.id.name] = {entry.id.life, entry.leaving, now};
  }
  Rebuild();  // First: whoever is told may choose another replica at once.
  watcher_->OnReplica(entry, DirectoryChange::kGone);
}

// An address that two rows name, as when it is used again or another writer
// names it too, belongs to the one that takes work, or else to the first.
void ReplicaDirectory::Rebuild() {
  by_service_.clear();
  by_address_.clear();
  lives_told_.clear();
  for (const auto& [name, row] : entries_) {
    if (row.entry.id.life != 0) {
      lives_told_.insert(row.entry.service);
    }
  }
  for (const auto& [name, row] : entries_) {
    const bool takes = Takes(row);
    if (takes) {
      by_service_[row.entry.service].push_back(&row.entry);
    }
    const Row*& owner = by_address_[AddressText(row.entry.address)];
    const auto claim = [this](const Row& it) {
      return std::pair(!Takes(it), it.added);
    };
    if (owner == nullptr || claim(row) < claim(*owner)) {
      owner = &row;
    }
  }
}

}  // namespace acaciachute
