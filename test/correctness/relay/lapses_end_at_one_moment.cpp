// The time for which a replica with a missing entry is still used was counted
// anew each time it was looked at, so that one that left soon after an outage
// was used beyond the time for which it serves.
#include "sapphirereel/relay/lapsed_replicas.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

constexpr auto drain_limit = duration{milliseconds{2'000}};
constexpr auto returned = time_point{std::chrono::seconds{50}};
auto const one = endpoint_id{"one"};

/// A moment some milliseconds after the return of the log.
constexpr auto after(int ms) -> time_point
{
    return returned + milliseconds{ms};
}

TEST(lapse, ends_a_fixed_time_after_the_return_of_the_log)
{
    auto lapses = lapsed_replicas{drain_limit};
    auto const until = returned + lapse_grace;
    EXPECT_TRUE(lapses.keeps(one, until, after(100)));
    EXPECT_EQ(lapses.next_end(), until);
    EXPECT_TRUE(lapses.keeps(one, until, after(2'199)));
    EXPECT_FALSE(lapses.keeps(one, until, after(2'200)));
}

TEST(lapse, found_late_is_not_put_off_by_another_look)
{
    auto lapses = lapsed_replicas{drain_limit};
    auto const until = returned + lapse_grace;
    EXPECT_TRUE(lapses.keeps(one, until, after(1'500)));
    EXPECT_TRUE(lapses.keeps(one, after(5'000), after(2'000)));
    lapses.prolong(after(5'000));
    EXPECT_FALSE(lapses.keeps(one, after(5'000), after(2'200)));
}

TEST(lapse, found_late_ends_with_the_time_for_which_leaving_replicas_serve)
{
    auto lapses = lapsed_replicas{milliseconds{500}};
    auto const until = returned + lapse_grace;
    EXPECT_TRUE(lapses.keeps(one, until, after(1'000)));
    // A request takes some time on its way.
    EXPECT_FALSE(lapses.keeps(one, until, after(1'200)));
}

TEST(lapse, of_an_outage_lasts_through_another_one)
{
    auto lapses = lapsed_replicas{drain_limit};
    EXPECT_TRUE(lapses.keeps(one, returned + lapse_grace, after(100)));
    lapses.prolong(after(4'000));
    EXPECT_TRUE(lapses.keeps(one, after(4'000), after(3'999)));
    EXPECT_FALSE(lapses.keeps(one, after(4'000), after(4'000)));
}

TEST(lapse, without_an_outage_is_none)
{
    auto lapses = lapsed_replicas{drain_limit};
    EXPECT_FALSE(lapses.keeps(one, returned, returned));
    EXPECT_FALSE(lapses.next_end());
}

TEST(lapse, is_forgotten_when_the_entry_is_back)
{
    auto lapses = lapsed_replicas{drain_limit};
    EXPECT_TRUE(lapses.keeps(one, returned + lapse_grace, after(100)));
    lapses.retain({});
    EXPECT_FALSE(lapses.next_end());
    // It vanishes again, and has left.
    EXPECT_FALSE(lapses.keeps(one, returned + lapse_grace, after(2'300)));
}

RC_GTEST_PROP(lapse, found_late_is_bounded_whatever_follows, ())
{
    auto const found = *rc::gen::inRange(401, 2'200);
    auto lapses = lapsed_replicas{drain_limit};
    RC_ASSERT(lapses.keeps(one, returned + lapse_grace, after(found)));
    auto at = found;
    while (at < 10'000)
    {
        at += *rc::gen::inRange(1, 900);
        auto const doubt = after(*rc::gen::inRange(0, 20'000));
        if (*rc::gen::arbitrary<bool>())
        {
            lapses.prolong(doubt);
        }
        auto const is_used = lapses.keeps(one, doubt, after(at));
        auto const may_be_used = at < std::min(2'200, found + 1'700);
        RC_ASSERT(is_used == may_be_used);
    }
}

} // namespace
} // namespace sapphirereel::relay
