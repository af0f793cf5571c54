#include "sapphirereel/core/length_estimate.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

auto const known = stream_kind{service_name{"s"}, customer_id{"known"}};
auto const unknown = stream_kind{service_name{"s"}, customer_id{"unknown"}};
auto const other_service = stream_kind{service_name{"t"}, customer_id{"known"}};

auto estimator_after(int observations, length_observation const& seen)
    -> length_estimator
{
    auto lengths = length_estimator::create({}).value();
    for (auto i = 0; i < observations; ++i)
    {
        lengths.record(known, seen, time_point{});
    }
    return lengths;
}

TEST(length_estimate, unknown_customer_falls_back_to_the_service_curve)
{
    auto const lengths = estimator_after(500, {0, 20, true});
    EXPECT_LT(lengths.curve(unknown).survival(0, 100), 0.1);
    auto const unobserved = length_estimator::create({}).value();
    EXPECT_EQ(lengths.curve(other_service), unobserved.curve(other_service));
}

TEST(length_estimate, interrupted_streams_do_not_shorten_the_estimate)
{
    auto const prior = length_estimator::create({}).value();
    auto const cut = estimator_after(500, {0, 20, false});
    EXPECT_GT(cut.curve(known).survival(0, 15), 0.9);
    EXPECT_GE(
        cut.curve(known).survival(0, 100), prior.curve(known).survival(0, 100));
}

TEST(length_estimate, moved_streams_count_only_over_observed_lengths)
{
    auto const lengths = estimator_after(500, {1000, 1100, true});
    auto const prior = length_estimator::create({}).value();
    EXPECT_DOUBLE_EQ(
        lengths.curve(known).survival(0, 500),
        prior.curve(known).survival(0, 500));
}

TEST(length_estimate, follows_a_shift_of_the_mix)
{
    auto lengths = estimator_after(500, {0, 20, true});
    auto const later = time_point{} + std::chrono::hours(2);
    for (auto i = 0; i < 100; ++i)
    {
        lengths.record(known, {0, 2000, true}, later);
    }
    EXPECT_GT(lengths.curve(known).survival(0, 100), 0.8);
}

TEST(length_estimate, heavy_tail_counts_up_to_the_horizon_only)
{
    auto const lengths = length_estimator::create({}).value();
    auto const left = lengths.curve(known).remaining(1000, 500, 0.9);
    EXPECT_GT(left.mean, 0);
    EXPECT_LE(left.mean, 500);
    EXPECT_LE(left.quantile, 500);
    EXPECT_GE(left.variance, 0);
}

} // namespace
} // namespace sapphirereel
