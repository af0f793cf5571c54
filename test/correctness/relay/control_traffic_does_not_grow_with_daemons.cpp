#include "sapphirereel/relay/control_intervals.hpp"
#include "sapphirereel/relay/log_reader_selection.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

constexpr auto target_daemons = std::size_t{360};

auto per_second(std::size_t daemons, duration interval) -> double
{
    return static_cast<double>(daemons) /
           std::chrono::duration<double>(interval).count();
}

TEST(reports, that_a_daemon_receives_stay_bounded)
{
    for (auto const daemons : {9U, 90U, 200U})
    {
        EXPECT_LE(per_second(daemons, report_interval(daemons)), 101);
    }
    EXPECT_LE(per_second(target_daemons, report_interval(target_daemons)), 180);
}

TEST(reports, that_are_lost_occasionally_mark_no_daemon_dead)
{
    for (auto const daemons : {2U, 9U, 90U, 360U})
    {
        EXPECT_GE(peer_timeout(daemons), 3 * report_interval(daemons));
        EXPECT_LE(report_delay(daemons), report_interval(daemons));
    }
}

TEST(secondary_log_reads, of_all_daemons_together_stay_bounded)
{
    for (auto const daemons : {9U, 90U})
    {
        EXPECT_LE(per_second(daemons, secondary_read_pause(daemons)), 3.1);
    }
    EXPECT_LE(
        per_second(target_daemons, secondary_read_pause(target_daemons)), 12.1);
}

TEST(primary_log_reads, long_poll_for_records)
{
    EXPECT_GT(follow_settings_for(true, 9).wait, duration{0});
    EXPECT_LE(
        follow_settings_for(true, target_daemons).pause,
        duration{std::chrono::milliseconds{200}});
    EXPECT_EQ(follow_settings_for(false, 9).wait, duration{0});
    EXPECT_EQ(follow_settings_for(false, 9).pause, secondary_read_pause(9));
}

// A silent link to the log must be noticed within the deployment's bounds.
TEST(primary_log_reads, wait_for_a_part_of_the_bound_at_most)
{
    using std::chrono::milliseconds;
    for (auto const bound :
         {duration{milliseconds{1'500}}, duration{milliseconds{2'000}}})
    {
        EXPECT_LE(follow_settings_for(true, 9, false, bound).wait, bound / 3);
    }
    EXPECT_EQ(
        follow_settings_for(true, 90, false, milliseconds{3'000}).wait,
        max_primary_read_wait);
}

// Daemons that are cut off from each other all read the log: a third of a large
// fleet must not read it more often than the whole fleet's primaries and
// secondaries may together, and each still learns of changes within a second.
TEST(lone_log_readers, of_a_large_fleet_read_rarely)
{
    auto const lone = follow_settings_for(true, 300, true);
    EXPECT_LE(per_second(100, lone.pause), 101);
    EXPECT_LE(lone.pause, duration{std::chrono::seconds{1}});
    EXPECT_LE(
        follow_settings_for(true, 9, true).pause,
        duration{std::chrono::milliseconds{50}});
}

} // namespace
} // namespace sapphirereel::relay
