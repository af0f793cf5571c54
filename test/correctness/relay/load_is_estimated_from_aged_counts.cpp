// Guards against counts that are used as if they were exact however old they
// are.
#include "sapphirereel/relay/load_estimate.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

constexpr auto mean_time = duration{milliseconds{100}};

TEST(load_estimate, weighs_counts_by_their_age)
{
    auto const fresh = others_load{0.5, 1, 0, mean_time};
    EXPECT_DOUBLE_EQ(estimated_requests({2, 7, 10, {}}, fresh), 9);
    // Own requests stay exact: only the 7 of others become 5.
    auto const old = others_load{0.5, 0, 0, mean_time};
    EXPECT_DOUBLE_EQ(estimated_requests({2, 7, 10, {}}, old), 7);
    auto const stated = stated_count{20, duration{0}};
    EXPECT_DOUBLE_EQ(estimated_requests({2, 7, 10, stated}, fresh), 20);
    auto const old_stated = stated_count{20, mean_time * 10};
    EXPECT_NEAR(estimated_requests({2, 7, 10, old_stated}, fresh), 9, 0.01);
}

TEST(load_estimate, fills_the_lowest_candidates_to_one_level)
{
    auto const shares = expected_share(
        {{0.2, 10, false}, {0.1, 10, false}, {0.9, 10, false}}, 2);
    EXPECT_NEAR(shares[0], 0.5, 1e-9);
    EXPECT_NEAR(shares[1], 1.5, 1e-9);
    EXPECT_EQ(shares[2], 0);
    // The second is too far from the lowest score.
    auto const bounded =
        expected_share({{0.1, 10, false}, {0.45, 10, false}}, 1'000);
    EXPECT_GT(bounded[0], 0);
    EXPECT_EQ(bounded[1], 0);
}

TEST(busiest_over_mean, is_one_for_equal_loads_and_zero_without_load)
{
    EXPECT_DOUBLE_EQ(busiest_over_mean({3, 3, 3}), 1);
    EXPECT_DOUBLE_EQ(busiest_over_mean({4, 2, 0}), 2);
    EXPECT_DOUBLE_EQ(busiest_over_mean({0, 0}), 0);
    EXPECT_DOUBLE_EQ(busiest_over_mean({}), 0);
}

} // namespace
} // namespace sapphirereel::relay
