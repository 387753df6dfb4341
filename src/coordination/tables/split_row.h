// A row whose value is split into named parts, so that gateways pass on only
// the parts that changed.
//
// The configuration is one row of the store, and a small change of it writes
// the whole row again. Passed on as a whole to every gateway, a row of a
// megabyte fills a link of 10 Mbit/s for a second at each change, and gateways
// on such links have no current configuration any more. The gateways that ask
// the store receive the whole row and split it; from there on a change costs
// each gateway what it changes, whatever the size of the row.
//
// Versions of the row in between may be missed, and a part may change and
// change back. So the changes since a version are known only to a gateway that
// held just this version; any other one sends all parts. Changes are sent in
// pages, which the receiver requests one by one: a transfer shows that it is
// alive, is not continued once it was given up, and can be continued with
// another gateway.
#ifndef ACACIACHUTE_SRC_COORDINATION_TABLES_SPLIT_ROW_H_
#define ACACIACHUTE_SRC_COORDINATION_TABLES_SPLIT_ROW_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state/table_rows.h"

namespace acaciachute {

class SplitRow {
 public:
  // Approximate size of a page, in bytes: it takes a link of 10 Mbit/s 50 ms.
  static constexpr std::size_t kMaxPageBytes = 64 << 10;
  // Number of versions, the latest ones, since which the changes are known.
  static constexpr std::size_t kMaxVersions = 64;

  enum class PageResult { kComplete, kIncomplete, kMismatch };
  // Receives the parts that differ from those of the version before.
  using ChangeFn = std::function<void(const std::vector<RowPart>& changes)>;

  explicit SplitRow(ChangeFn on_change) : on_change_(std::move(on_change)) {}

  // The whole row at `version` has these parts. Versions that are not above the
  // present one are ignored.
  void Replace(std::uint64_t version, const std::vector<RowPart>& parts);
  // Receives a page; the changes take effect with the last one. `kMismatch`:
  // the page does not refer to what is held here, and was ignored.
  PageResult ApplyPage(const SplitRowPage& page);
  // The changes that a gateway at `position` needs next; empty if it needs
  // none.
  std::optional<SplitRowPage> PageAfter(const SplitRowPosition& position) const;

  SplitRowPosition position() const;
  std::uint64_t version() const { return version_; }

 private:
  // A page that is being filled.
  struct PageFiller;

  bool Held(std::uint64_t version) const { return versions_.contains(version); }
  void Change(std::uint64_t version, const std::vector<RowPart>& changes);
  // Removals up to this version are not asked for any more.
  void ForgetRemovals(std::uint64_t up_to);
  // Names of the parts that changed after `version`, in order.
  std::set<std::string_view> ChangedSince(std::uint64_t version) const;
  RowPart PartOf(std::string_view name) const;
  void DropPages();

  const ChangeFn on_change_;
  std::uint64_t version_ = 0;
  std::set<std::uint64_t>
      versions_;  // That were held here, and are remembered.
  std::map<std::string, std::string, std::less<>> parts_;
  // By name: the version at which the part changed, also of removed parts.
  std::map<std::string, std::uint64_t, std::less<>> changed_at_;
  using ChangeIndex = std::set<std::pair<std::uint64_t, std::string>>;
  ChangeIndex by_change_;
  ChangeIndex removals_;  // Those of `by_change_` whose part was removed.
  // The pages received so far; see `SplitRowPosition`.
  SplitRowPosition received_;
  std::map<std::string, RowPart> received_parts_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_TABLES_SPLIT_ROW_H_
