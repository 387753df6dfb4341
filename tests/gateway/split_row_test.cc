// Tests a row that gateways pass on as the parts that changed.
#include "coordination/tables/split_row.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace acaciachute {
namespace {

using Parts = std::map<std::string, std::string>;

// One gateway's copy, and the parts that it has told its listener.
struct Copy {
  SplitRow row{[this](const std::vector<RowPart>& changes) {
    for (const RowPart& it : changes) {
      ++change_count;
      if (it.removed) {
        parts.erase(it.name);
      } else {
        parts[it.name] = it.text;
      }
    }
  }};
  Parts parts;
  std::size_t change_count = 0;
};

std::vector<RowPart> ListOf(const Parts& parts) {
  std::vector<RowPart> list;
  for (const auto& [name, text] : parts) {
    list.push_back({name, text, false});
  }
  return list;
}

Parts MakeParts(int count, std::size_t bytes) {
  Parts parts;
  for (int n = 0; n < count; ++n) {
    parts["part-" + std::to_string(n)] = std::string(bytes, 'x');
  }
  return parts;
}

// Lets `to` follow `from` page by page; returns the bytes sent.
std::size_t Follow(Copy* to, const Copy& from) {
  std::size_t bytes = 0;
  auto result = SplitRow::PageResult::kIncomplete;
  while (result == SplitRow::PageResult::kIncomplete) {
    const auto page = from.row.PageAfter(to->row.position());
    if (!page) {
      return bytes;
    }
    for (const RowPart& it : page->parts) {
      bytes += it.name.size() + it.text.size();
    }
    result = to->row.ApplyPage(*page);
  }
  EXPECT_EQ(result, SplitRow::PageResult::kComplete);
  return bytes;
}

// Guards against a small change that is sent to each gateway, and read there,
// as the whole configuration.
TEST(SplitRowTest, ASmallChangeCostsTheSameWhateverTheSizeOfTheRow) {
  for (const int count : {100, 1'000, 10'000}) {
    Copy relay;
    Copy follower;
    Parts parts = MakeParts(count, 170);
    relay.row.Replace(5, ListOf(parts));
    EXPECT_GT(Follow(&follower, relay), 170U * static_cast<std::size_t>(count));
    follower.change_count = 0;
    parts["part-7"] = "changed";
    parts.erase("part-8");
    relay.row.Replace(9, ListOf(parts));
    EXPECT_LT(Follow(&follower, relay), 100U);
    EXPECT_EQ(follower.change_count, 2U);
    EXPECT_EQ(follower.parts, parts);
    EXPECT_EQ(follower.row.version(), 9U);
  }
}

// A relay that is given up in the middle of a transfer is replaced by another
// one, which continues it instead of starting anew.
TEST(SplitRowTest, AnotherGatewayContinuesATransfer) {
  const Parts parts = MakeParts(4'000, 170);
  Copy first;
  Copy second;
  Copy follower;
  for (Copy* it : {&first, &second}) {
    it->row.Replace(5, ListOf(parts));
  }
  std::size_t pages = 0;
  for (; pages < 5; ++pages) {
    const auto page = first.row.PageAfter(follower.row.position());
    ASSERT_EQ(follower.row.ApplyPage(*page), SplitRow::PageResult::kIncomplete);
  }
  EXPECT_LT(Follow(&follower, second),
            4'000 * 180U - pages * SplitRow::kMaxPageBytes);
  EXPECT_EQ(follower.parts, parts);
}

// Guards against a gateway that keeps an old part: the part changed in a
// version that its relay has missed, and changed back.
TEST(SplitRowTest, APartThatChangedBackInAMissedVersionIsSent) {
  Copy relay;
  Copy follower;
  relay.row.Replace(1, ListOf({{"a", "old"}}));
  follower.row.Replace(2, ListOf({{"a", "new"}}));
  relay.row.Replace(3, ListOf({{"a", "old"}}));
  Follow(&follower, relay);
  EXPECT_EQ(follower.parts.at("a"), "old");
}

// Pages of a transfer that were sent before a part of them changed again must
// not bring the old part back.
TEST(SplitRowTest, APartThatChangesDuringATransferArrivesInItsLastState) {
  Copy relay;
  Copy follower;
  Parts parts = MakeParts(2'000, 170);
  relay.row.Replace(5, ListOf(parts));
  const auto page = relay.row.PageAfter(follower.row.position());
  ASSERT_EQ(follower.row.ApplyPage(*page), SplitRow::PageResult::kIncomplete);
  parts.begin()->second = "changed";
  parts.erase(std::next(parts.begin()));
  relay.row.Replace(6, ListOf(parts));
  Follow(&follower, relay);
  EXPECT_EQ(follower.parts, parts);
}

TEST(SplitRowTest, APageForAnotherVersionIsRefused) {
  Copy relay;
  Copy follower;
  relay.row.Replace(5, ListOf({{"a", "1"}}));
  SplitRowPosition elsewhere;
  elsewhere.version = 5;
  relay.row.Replace(6, ListOf({{"a", "2"}}));
  const auto page = relay.row.PageAfter(elsewhere);
  EXPECT_EQ(follower.row.ApplyPage(*page), SplitRow::PageResult::kMismatch);
  EXPECT_TRUE(follower.parts.empty());
}

// Gateways read versions of the row from the store, or follow one another from
// any state, page by page and with any gateway next. Each then has exactly the
// parts of the version that it claims.
RC_GTEST_PROP(SplitRowTest, EachCopyHasThePartsOfItsVersion, ()) {
  constexpr std::size_t kCopies = 4;
  std::vector<std::unique_ptr<Copy>> copies;
  for (std::size_t n = 0; n < kCopies; ++n) {
    copies.push_back(std::make_unique<Copy>());
  }
  std::map<std::uint64_t, Parts> written = {{0, {}}};
  const auto copy = [&]() -> Copy& {
    return *copies[*rc::gen::inRange<std::size_t>(0, kCopies)];
  };
  const int steps = *rc::gen::inRange(1, 150);
  for (int n = 0; n < steps; ++n) {
    Copy& to = copy();
    switch (*rc::gen::inRange(0, 4)) {
      case 0: {
        // Half a page each, so that transfers take several pages.
        Parts parts = written.rbegin()->second;
        const std::string name = std::to_string(*rc::gen::inRange(0, 8));
        if (*rc::gen::arbitrary<bool>()) {
          parts.erase(name);
        } else {
          parts[name] = std::string(SplitRow::kMaxPageBytes / 2, 'x') +
                        std::to_string(*rc::gen::inRange(0, 3));
        }
        written[written.rbegin()->first + 1] = parts;
        break;
      }
      case 1: {
        const auto& [version, parts] = *written.rbegin();
        to.row.Replace(version, ListOf(parts));
        break;
      }
      default: {
        const Copy& from = copy();
        if (const auto page = from.row.PageAfter(to.row.position())) {
          RC_ASSERT(to.row.ApplyPage(*page) != SplitRow::PageResult::kMismatch);
        }
        break;
      }
    }
    RC_ASSERT(to.parts == written.at(to.row.version()));
  }
}

}  // namespace
}  // namespace acaciachute
