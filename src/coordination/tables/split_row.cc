#include "coordination/tables/split_row.h"

#include <algorithm>

namespace acaciachute {

// Adds parts to a page until it is full.
struct SplitRow::PageFiller {
  // Returns whether there was room for the part.
  bool Add(RowPart part) {
    if (bytes >= kMaxPageBytes) {
      page.truncated = true;
      return false;
    }
    bytes += part.name.size() + part.text.size();
    page.parts.push_back(std::move(part));
    return true;
  }

  SplitRowPage page;
  std::size_t bytes = 0;
};

void SplitRow::Replace(std::uint64_t version,
                       const std::vector<RowPart>& parts) {
  if (version <= version_) {
    return;
  }
  DropPages();
  std::vector<RowPart> changes;
  std::set<std::string_view> present;
  for (const RowPart& it : parts) {
    present.insert(it.name);
    const auto held = parts_.find(it.name);
    if (held == parts_.end() || held->second != it.text) {
      changes.push_back(it);
    }
  }
  for (const auto& [name, text] : parts_) {
    if (!present.contains(name)) {
      changes.push_back({name, "", true});
    }
  }
  Change(version, changes);
}

void SplitRow::Change(std::uint64_t version,
                      const std::vector<RowPart>& changes) {
  for (const RowPart& it : changes) {
    if (it.removed) {
      parts_.erase(it.name);
    } else {
      parts_[it.name] = it.text;
    }
    std::uint64_t& changed_at = changed_at_[it.name];
    by_change_.erase({changed_at, it.name});
    removals_.erase({changed_at, it.name});
    changed_at = version;
    by_change_.emplace(version, it.name);
    if (it.removed) {
      removals_.emplace(version, it.name);
    }
  }
  version_ = version;
  versions_.insert(version);
  if (versions_.size() > kMaxVersions) {
    versions_.erase(versions_.begin());
    ForgetRemovals(*versions_.begin());
  }
  on_change_(changes);
}

void SplitRow::ForgetRemovals(std::uint64_t up_to) {
  while (!removals_.empty() && removals_.begin()->first <= up_to) {
    by_change_.erase(*removals_.begin());
    changed_at_.erase(removals_.begin()->second);
    removals_.erase(removals_.begin());
  }
}

SplitRow::PageResult SplitRow::ApplyPage(const SplitRowPage& page) {
  if (page.version <= version_) {
    DropPages();  // The store has sent the whole row meanwhile.
    return PageResult::kComplete;
  }
  const bool fits = page.continues ? received_.page_version != 0 &&
                                         received_.page_base == page.base
                                   : page.base == 0 || page.base == version_;
  if (!fits) {
    DropPages();
    return PageResult::kMismatch;
  }
  if (!page.continues) {
    DropPages();
  }
  for (const RowPart& it : page.parts) {
    received_parts_[it.name] = it;
  }
  received_ = {0, page.base, page.version, page.last_part};
  if (page.truncated) {
    return PageResult::kIncomplete;
  }
  std::vector<RowPart> parts;
  parts.reserve(received_parts_.size());
  for (auto& [name, part] : received_parts_) {
    if (page.base != 0 || !part.removed) {
      parts.push_back(std::move(part));
    }
  }
  DropPages();
  if (page.base == 0) {
    Replace(page.version, parts);
  } else {
    Change(page.version, parts);
  }
  return PageResult::kComplete;
}

std::optional<SplitRowPage> SplitRow::PageAfter(
    const SplitRowPosition& position) const {
  if (position.version >= version_) {
    return std::nullopt;
  }
  PageFiller filler;
  SplitRowPage& page = filler.page;
  page.version = version_;
  page.base = Held(position.version) ? position.version : 0;
  page.continues = Held(position.page_version) &&
                   (position.page_base == 0 || position.page_base == page.base);
  if (page.continues) {
    page.base = position.page_base;
    page.last_part = position.last_part;
    // Parts of the pages received before that have changed since then.
    for (const std::string_view name : ChangedSince(position.page_version)) {
      if (name <= position.last_part && !filler.Add(PartOf(name))) {
        // So many have changed that all pages are sent again.
        return PageAfter({position.version, 0, 0, ""});
      }
    }
  }
  const auto add = [&](std::string_view name) {
    const bool added = filler.Add(PartOf(name));
    if (added) {
      page.last_part = name;
    }
    return added;
  };
  if (page.base == 0) {
    for (auto it = parts_.upper_bound(page.last_part);
         it != parts_.end() && add(it->first); ++it) {
    }
    return std::move(page);
  }
  const std::set<std::string_view> changed = ChangedSince(page.base);
  for (auto it = changed.upper_bound(page.last_part);
       it != changed.end() && add(*it); ++it) {
  }
  return std::move(page);
}

std::set<std::string_view> SplitRow::ChangedSince(std::uint64_t version) const {
  std::set<std::string_view> names;
  for (auto it = by_change_.lower_bound({version + 1, ""});
       it != by_change_.end(); ++it) {
    names.insert(it->second);
  }
  return names;
}

RowPart SplitRow::PartOf(std::string_view name) const {
  const auto it = parts_.find(name);
  return it == parts_.end() ? RowPart{std::string(name), "", true}
                            : RowPart{it->first, it->second, false};
}

SplitRowPosition SplitRow::position() const {
  SplitRowPosition position = received_;
  position.version = version_;
  return position;
}

void SplitRow::DropPages() {
  received_ = {};
  received_parts_.clear();
}

}  // namespace acaciachute
