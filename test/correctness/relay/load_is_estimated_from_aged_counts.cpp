// Guards against counts that are used as if they were exact however old they
// are, and against a random choice that overrules a limit.
#include "sapphirereel/relay/load_estimate.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

constexpr auto mean_time = duration{milliseconds{100}};

TEST(load_estimate, is_the_sum_of_fresh_counts)
{
    auto const others = others_load{0.5, 1, 0, mean_time};
    EXPECT_DOUBLE_EQ(estimated_requests({2, 7, 10, {}}, others), 9);
}

TEST(load_estimate, approaches_the_mean_as_counts_age)
{
    // Own requests stay exact: only the 7 of others become 5.
    auto const others = others_load{0.5, 0, 0, mean_time};
    EXPECT_DOUBLE_EQ(estimated_requests({2, 7, 10, {}}, others), 7);
}

TEST(load_estimate, uses_a_stated_load_while_it_is_fresh)
{
    auto const others = others_load{0.5, 1, 0, mean_time};
    auto const fresh = stated_count{20, duration{0}};
    EXPECT_DOUBLE_EQ(estimated_requests({2, 7, 10, fresh}, others), 20);
    auto const old = stated_count{20, mean_time * 10};
    EXPECT_NEAR(estimated_requests({2, 7, 10, old}, others), 9, 0.01);
}

TEST(load_estimate, fills_the_lowest_candidates_to_one_level)
{
    auto const shares = expected_share(
        {{0.2, 10, false}, {0.1, 10, false}, {0.9, 10, false}}, 2);
    EXPECT_NEAR(shares[0], 0.5, 1e-9);
    EXPECT_NEAR(shares[1], 1.5, 1e-9);
    EXPECT_EQ(shares[2], 0);
}

TEST(load_estimate, bounds_the_distance_from_the_lowest_score)
{
    auto const shares =
        expected_share({{0.1, 10, false}, {0.45, 10, false}}, 1'000);
    EXPECT_GT(shares[0], 0);
    EXPECT_EQ(shares[1], 0);
}

TEST(even_choice, takes_the_lowest_score_if_all_is_known)
{
    auto generator = std::mt19937_64{1};
    EXPECT_EQ(
        choose_evenly({{0.11, 10, false}, {0.1, 10, false}}, 0, generator), 1U);
}

TEST(even_choice, never_draws_a_strained_candidate_where_another_is_left)
{
    auto generator = std::mt19937_64{1};
    for (auto draw = 0; draw < 200; ++draw)
    {
        EXPECT_NE(
            choose_evenly(
                {{0.1, 10, false}, {0.101, 10, true}, {0.102, 10, false}}, 50,
                generator),
            1U);
    }
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
