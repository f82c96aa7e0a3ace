// Tests of the conversions between durations and seconds at the limits of their range.
#include "estimators/durations.h"

#include <gtest/gtest.h>

#include <limits>

namespace sagetally {
namespace {

// Guards against decisions that differ between x86-64 and arm64, as those of policy_golden did.
TEST(Durations, NumbersOutOfRangeBecomeTheSameDurationOnEveryMachine) {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  EXPECT_EQ(FromSeconds(ToSeconds(Duration::max())), kMaxConvertedDuration);
  EXPECT_EQ(FromSeconds(kInfinity), kMaxConvertedDuration);
  EXPECT_EQ(FromSeconds(-kInfinity), -kMaxConvertedDuration);
  EXPECT_EQ(FromSeconds(std::numeric_limits<double>::quiet_NaN()), Duration(0));
  EXPECT_EQ(FromSeconds(-0.0000015), Duration(-2));
}

}  // namespace
}  // namespace sagetally
