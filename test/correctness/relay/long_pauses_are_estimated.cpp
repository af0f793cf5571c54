// Guards against a replica that counts as fast enough because few or short runs
// were measured, or because all measured runs were on faster replicas.
#include "sapphirereel/relay/pause_estimate.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

constexpr auto target = duration{milliseconds{180}};
constexpr auto fast = 55.0;
constexpr auto slow = 120.0;

auto estimate_of(int runs, int long_runs) -> pause_estimate
{
    auto made = pause_estimate{};
    for (auto each = 0; each < runs; ++each)
    {
        made.add_run(milliseconds{each < long_runs ? 88 : 40}, fast);
    }
    return made;
}

TEST(pause_estimate, assumes_the_usual_pace_to_hold_until_it_has_measured)
{
    for (auto const runs : {0, 7, 31})
    {
        auto const pauses = estimate_of(runs, 0);
        EXPECT_TRUE(pauses.holds(fast, target)) << runs;
        EXPECT_TRUE(pauses.holds(100, target)) << runs;
        EXPECT_FALSE(pauses.holds(slow, target)) << runs;
    }
    EXPECT_TRUE(estimate_of(32, 0).holds(slow, target));
}

TEST(pause_estimate, scales_with_the_pace_and_the_time_that_a_run_takes)
{
    // 88 ms at 55 are 192 ms at 120, where a run coincides 2.2 times as often
    // with what causes them.
    auto const pauses = estimate_of(64, 4);
    EXPECT_EQ(pauses.long_pause_probability(fast, target), 0);
    EXPECT_NEAR(
        pauses.long_pause_probability(slow, target), 4.0 / 64 * slow / fast,
        0.001);
    EXPECT_FALSE(pauses.holds(slow, target));
    EXPECT_TRUE(pauses.holds(slow, milliseconds{200}));
    EXPECT_FALSE(estimate_of(64, 20).holds(fast, milliseconds{80}));
}

TEST(pause_estimate, forgets_old_runs)
{
    auto pauses = estimate_of(64, 64);
    EXPECT_FALSE(pauses.holds(slow, target));
    for (auto each = 0; each < 64; ++each)
    {
        pauses.add_run(milliseconds{70}, slow);
    }
    EXPECT_EQ(pauses.long_pause_probability(slow, target), 0);
}

TEST(run_pauses, of_a_short_run_say_nothing)
{
    auto run = run_pauses{};
    for (auto event = 2; event < 10; ++event)
    {
        run.add(milliseconds{30});
    }
    EXPECT_FALSE(run.longest());
    run.add(milliseconds{50});
    EXPECT_EQ(run.longest(), duration{milliseconds{50}});
    // The caller's own pause says nothing about the replica.
    run.exclude();
    EXPECT_FALSE(run.longest());
}

} // namespace
} // namespace sapphirereel::relay
