#include "protocol/lease_codec.h"

#include <gtest/gtest.h>

namespace acaciachute {
namespace {

// A malformed row must not be read as a lease that was never held.
TEST(LeaseCodecTest, OnlyAClearRowGivesANumber) {
  EXPECT_EQ(FenceOfLeaseRow({"lease/models", "", 0}), FenceNumber{0});
  EXPECT_EQ(FenceOfLeaseRow({"lease/models", R"({"fence":7})", 3}),
            FenceNumber{7});
  for (const char* value : {"", "{", "[]", "{}", R"({"fence":-1})",
                            R"({"fence":"7"})", R"({"fence":1.5})"}) {
    EXPECT_EQ(FenceOfLeaseRow({"lease/models", value, 3}), std::nullopt)
        << value;
  }
}

}  // namespace
}  // namespace acaciachute
