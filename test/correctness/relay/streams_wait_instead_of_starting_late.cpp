#include "sapphirereel/relay/dispatch_policy.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

auto prospect(milliseconds waited, milliseconds expected_start)
    -> dispatch_estimate
{
    return {waited, milliseconds{1'800}, expected_start, 0.5};
}

TEST(dispatch_policy, sends_a_stream_that_starts_in_time)
{
    EXPECT_TRUE(should_dispatch(prospect(milliseconds{0}, milliseconds{400})));
    EXPECT_TRUE(
        should_dispatch(prospect(milliseconds{0}, milliseconds{1'700})));
    EXPECT_TRUE(
        should_dispatch(prospect(milliseconds{900}, milliseconds{800})));
}

TEST(dispatch_policy, holds_a_stream_that_would_start_late_behind_others)
{
    EXPECT_FALSE(
        should_dispatch(prospect(milliseconds{0}, milliseconds{2'500})));
    EXPECT_FALSE(
        should_dispatch(prospect(milliseconds{1'200}, milliseconds{900})));
}

TEST(dispatch_policy, sends_late_streams_to_short_queues)
{
    EXPECT_TRUE(
        should_dispatch(prospect(milliseconds{2'000}, milliseconds{500})));
    EXPECT_FALSE(
        should_dispatch(prospect(milliseconds{2'000}, milliseconds{1'000})));
}

TEST(dispatch_policy, sends_a_late_stream_before_its_caller_disconnects)
{
    EXPECT_TRUE(
        should_dispatch(prospect(milliseconds{3'600}, milliseconds{5'000})));
}

TEST(dispatch_policy, exceeds_a_replicas_memory_only_after_a_wait)
{
    auto full = prospect(milliseconds{0}, milliseconds{300});
    full.memory_share = 1.05;
    EXPECT_FALSE(should_dispatch(full));
    // Small streams must not starve large ones.
    full.waited = milliseconds{1'000};
    EXPECT_TRUE(should_dispatch(full));
}

TEST(memory_share_limit, increases_with_the_wait)
{
    EXPECT_EQ(max_memory_share(duration{0}), 1);
    EXPECT_GT(max_memory_share(std::chrono::seconds{5}), 1.3);
}

TEST(prefill_pace, converges_to_the_samples)
{
    auto pace = prefill_pace{};
    auto const before = pace.time_for(1'000);
    for (auto at = 0; at < 200; ++at)
    {
        pace.add_sample(2'000, milliseconds{100});
    }
    EXPECT_LT(pace.time_for(1'000), before);
    EXPECT_NEAR(
        std::chrono::duration<double>(pace.time_for(1'000)).count(), 0.05,
        0.001);
}

TEST(prefill_pace, is_robust_against_an_outlier)
{
    auto pace = prefill_pace{};
    auto const before = pace.time_for(1'000);
    pace.add_sample(1, std::chrono::seconds{60});
    pace.add_sample(0, std::chrono::seconds{60});
    EXPECT_LT(pace.time_for(1'000), 2 * before);
}

} // namespace
} // namespace sapphirereel::relay
