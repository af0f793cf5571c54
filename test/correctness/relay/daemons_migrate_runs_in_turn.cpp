#include "sapphirereel/relay/leaving_replica_set.hpp"
#include "sapphirereel/relay/replica_table.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::seconds;

constexpr auto now = time_point{seconds{100}};
auto const leaving = endpoint_id{"r"};

// Guards against a replica that drains with runs of several daemons on it:
// transferring all their KV caches takes longer than the drain notice.
TEST(migration_order_of_daemons, follows_the_movable_load_of_earlier_daemons)
{
    auto table = replica_table{zone_name{"z"}, 1};
    table.set_peer_load(daemon_id{"1"}, {{leaving, {2, 8'000, 0, 3'000}}}, now);
    table.set_peer_load(daemon_id{"3"}, {{leaving, {1, 4'000, 0, 2'000}}}, now);
    EXPECT_EQ(table.movable_ahead(leaving, daemon_id{"0"}), 0);
    EXPECT_EQ(table.movable_ahead(leaving, daemon_id{"2"}), 3'000);
    EXPECT_EQ(table.movable_ahead(leaving, daemon_id{"4"}), 5'000);
}

TEST(migration_order_of_daemons, ignores_runs_that_have_backups)
{
    auto table = replica_table{zone_name{"z"}, 1};
    table.set_peer_load(daemon_id{"1"}, {{leaving, {2, 8'000, 0, 0}}}, now);
    EXPECT_EQ(table.movable_ahead(leaving, daemon_id{"2"}), 0);
}

TEST(peer_load, is_replaced_by_a_newer_report)
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

TEST(leaving_replicas, reports_recent_entries_and_covers_older_records)
{
    auto entries = leaving_replica_set{};
    EXPECT_TRUE(entries.record_leaving({leaving, 7}, now));
    EXPECT_FALSE(entries.record_leaving({leaving, 7}, now));
    EXPECT_FALSE(entries.record_leaving({leaving, 5}, now));
    EXPECT_TRUE(entries.covers(leaving, {7}));
    // A later record belongs to a replica that came back.
    EXPECT_FALSE(entries.covers(leaving, {8}));
    EXPECT_EQ(entries.entries_to_report(now + seconds{2}).size(), 1U);
    EXPECT_TRUE(entries.entries_to_report(now + seconds{4}).empty());
    EXPECT_TRUE(entries.covers(leaving, {7}));
    entries.expire(now + seconds{120});
    EXPECT_FALSE(entries.covers(leaving, {7}));
}

} // namespace
} // namespace sapphirereel::relay
