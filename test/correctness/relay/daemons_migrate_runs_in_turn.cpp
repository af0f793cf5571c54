#include "sapphirereel/relay/leaving_replica_set.hpp"
#include "sapphirereel/relay/replica_table.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::seconds;

constexpr auto now = time_point{seconds{100}};
auto const leaving = endpoint_id{"r"};

// Answers the pattern of a replica that leaves with runs of several daemons on
// it: together their memory takes longer than the notice.
TEST(turn_of_a_daemon, comes_after_what_daemons_before_it_move)
{
    auto table = replica_table{zone_name{"z"}, 1};
    table.set_peer_load(daemon_id{"1"}, {{leaving, {2, 8'000, 0, 3'000}}}, now);
    table.set_peer_load(daemon_id{"3"}, {{leaving, {1, 4'000, 0, 2'000}}}, now);
    EXPECT_EQ(table.movable_ahead(leaving, daemon_id{"0"}), 0);
    EXPECT_EQ(table.movable_ahead(leaving, daemon_id{"2"}), 3'000);
    EXPECT_EQ(table.movable_ahead(leaving, daemon_id{"4"}), 5'000);
}

TEST(turn_of_a_daemon, does_not_wait_for_runs_that_have_copies)
{
    auto table = replica_table{zone_name{"z"}, 1};
    table.set_peer_load(daemon_id{"1"}, {{leaving, {2, 8'000, 0, 0}}}, now);
    EXPECT_EQ(table.movable_ahead(leaving, daemon_id{"2"}), 0);
}

TEST(counts_of_peers, are_replaced_not_added_up)
{
    auto table = replica_table{zone_name{"z"}, 1};
    for (auto at = 0; at < 3; ++at)
    {
        table.set_peer_load(
            daemon_id{"1"}, {{leaving, {2, 8'000, 100, 0}}}, now);
    }
    EXPECT_EQ(table.load_of(leaving), (replica_load{2, 8'000, 100, 0}));
    table.set_peer_load(daemon_id{"1"}, {}, now);
    EXPECT_EQ(table.load_of(leaving), replica_load{});
}

TEST(news_of_leaving, is_told_while_it_is_new_and_covers_older_records)
{
    auto news = leaving_replica_set{};
    EXPECT_TRUE(news.note({leaving, 7}, now));
    EXPECT_FALSE(news.note({leaving, 7}, now));
    EXPECT_FALSE(news.note({leaving, 5}, now));
    EXPECT_TRUE(news.covers(leaving, 7));
    // A record behind it is of a replica that came back.
    EXPECT_FALSE(news.covers(leaving, 8));
    EXPECT_EQ(news.entries_to_report(now + seconds{2}).size(), 1U);
    EXPECT_TRUE(news.entries_to_report(now + seconds{4}).empty());
    EXPECT_TRUE(news.covers(leaving, 7));
    news.expire(now + seconds{120});
    EXPECT_FALSE(news.covers(leaving, 7));
}

} // namespace
} // namespace sapphirereel::relay
