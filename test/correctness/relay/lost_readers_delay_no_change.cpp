#include "support/relay/freezable_fleet.hpp"

#include <gtest/gtest.h>

// Guards against changes that come late because the daemons that read the log
// for the others are lost: review/10, three of 90 daemons killed, versions and
// drain notices 3.1 to 3.7 s late where 3 s are allowed. The others must find
// out within a part of the deployment's bounds, whatever the report interval.

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

constexpr auto bound = duration{milliseconds{1'000}};
constexpr auto readers = std::size_t{3};

auto made_fleet() -> freezable_fleet
{
    return freezable_fleet{{6, bound}};
}

TEST(lost_readers, delay_a_version_by_less_than_its_bound)
{
    auto fleet = made_fleet();
    ASSERT_TRUE(fleet.start());
    for (auto at = std::size_t{0}; at < readers; ++at)
    {
        fleet.freeze(at);
    }
    fleet.publish(2);
    EXPECT_LT(fleet.time_until_version(2), bound);
}

TEST(lost_readers, that_are_cut_from_the_log_delay_a_version_as_little)
{
    auto fleet = made_fleet();
    ASSERT_TRUE(fleet.start());
    for (auto at = std::size_t{0}; at < readers; ++at)
    {
        fleet.cut_from_log(at);
    }
    // Calls that were answered at once may still be under way.
    fleet.run_for(milliseconds{50});
    fleet.publish(2);
    EXPECT_LT(fleet.time_until_version(2), bound);
}

// The answers about the other stream must not hide it.
TEST(lost_readers, that_are_cut_from_one_stream_delay_a_version_as_little)
{
    auto fleet = made_fleet();
    ASSERT_TRUE(fleet.start());
    for (auto at = std::size_t{0}; at < readers; ++at)
    {
        fleet.cut_from_stream(at, keyed_stream::configuration);
    }
    fleet.run_for(milliseconds{50});
    fleet.publish(2);
    EXPECT_LT(fleet.time_until_version(2), bound);
}

TEST(lost_readers, that_are_lost_one_after_the_other_add_no_time)
{
    auto fleet = freezable_fleet{{2 * readers + 2, bound}};
    ASSERT_TRUE(fleet.start());
    for (auto at = std::size_t{0}; at < readers; ++at)
    {
        fleet.freeze(at);
    }
    // The next ones are about to take their place.
    fleet.run_for(milliseconds{1'100});
    for (auto at = readers; at < 2 * readers; ++at)
    {
        fleet.freeze(at);
    }
    fleet.publish(2);
    EXPECT_LT(fleet.time_until_version(2), bound);
}

TEST(lost_readers, of_a_calm_fleet_cost_no_more_calls_than_before)
{
    auto fleet = made_fleet();
    ASSERT_TRUE(fleet.start());
    auto const before = fleet.log_calls();
    fleet.run_for(milliseconds{2'000});
    // Three primary readers, two streams each, a call every 12 ms at the least.
    constexpr auto most_calls = std::size_t{3 * 2 * 2'000 / 8};
    EXPECT_LE(fleet.log_calls() - before, most_calls);
}

} // namespace
} // namespace sapphirereel::relay::test
