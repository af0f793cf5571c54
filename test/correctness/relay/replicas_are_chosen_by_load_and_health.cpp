#include "sapphirereel/relay/replica_table.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

constexpr auto now = time_point{std::chrono::seconds{100}};

auto replica_of(std::string id, std::string zone) -> replica
{
    return {
        endpoint_id{std::move(id)},
        service_name{"s"},
        "127.0.0.1",
        1,
        zone_name{std::move(zone)},
        4,
        false};
}

auto const engine = engine_traits{10'000, 16, 1'000, true, true, 4};

auto need_of(double memory) -> placement_need
{
    return {service_name{"s"}, memory, memory, {}, {}};
}

auto table_of(std::vector<replica> const& replicas) -> replica_table
{
    auto table = replica_table{zone_name{"z"}, 1};
    table.set_replicas(replicas);
    return table;
}

TEST(replica_choice, prefers_the_emptier_memory)
{
    auto table = table_of({replica_of("a", "z"), replica_of("b", "z")});
    table.add(endpoint_id{"a"}, {1, 4'000, 0});
    EXPECT_EQ(
        table.choose(need_of(1'000), engine, now)->target.id, endpoint_id{"b"});
}

TEST(replica_choice, counts_what_peers_placed)
{
    auto table = table_of({replica_of("a", "z"), replica_of("b", "z")});
    table.add(endpoint_id{"a"}, {1, 1'000, 0});
    table.set_peer_load(
        daemon_id{"p"}, {{endpoint_id{"b"}, {2, 5'000, 0}}}, now);
    EXPECT_EQ(
        table.choose(need_of(1'000), engine, now)->target.id, endpoint_id{"a"});
    // The count of an unresponsive peer expires.
    auto const later = now + std::chrono::seconds{5};
    EXPECT_EQ(
        table.choose(need_of(1'000), engine, later)->target.id,
        endpoint_id{"b"});
}

TEST(replica_choice, skips_leaving_and_excluded_replicas)
{
    auto leaving = replica_of("a", "z");
    leaving.leaving = true;
    auto table = table_of({leaving, replica_of("b", "z")});
    auto need = need_of(1'000);
    EXPECT_EQ(table.choose(need, engine, now)->target.id, endpoint_id{"b"});
    need.excluded.insert(endpoint_id{"b"});
    EXPECT_FALSE(table.choose(need, engine, now));
}

TEST(replica_choice, avoids_one_that_failed_for_a_while)
{
    auto table = table_of({replica_of("a", "z"), replica_of("b", "z")});
    table.add(endpoint_id{"b"}, {3, 0, 0});
    table.failed(endpoint_id{"a"}, now);
    EXPECT_EQ(
        table.choose(need_of(0), std::nullopt, now)->target.id,
        endpoint_id{"b"});
    auto const later = now + milliseconds{600};
    EXPECT_EQ(
        table.choose(need_of(0), std::nullopt, later)->target.id,
        endpoint_id{"a"});
}

TEST(replica_choice, uses_one_that_failed_where_no_other_is_left)
{
    auto table = table_of({replica_of("a", "z")});
    table.failed(endpoint_id{"a"}, now);
    EXPECT_TRUE(table.choose(need_of(0), std::nullopt, now));
}

TEST(replica_choice, keeps_a_move_in_the_zone_of_the_memory)
{
    auto table = table_of({replica_of("a", "z"), replica_of("b", "y")});
    table.add(endpoint_id{"b"}, {1, 3'000, 0});
    auto need = need_of(1'000);
    need.memory_zone = zone_name{"y"};
    EXPECT_EQ(table.choose(need, engine, now)->target.id, endpoint_id{"b"});
}

TEST(replica_choice, uses_the_reported_load_while_it_is_recent)
{
    auto table = table_of({replica_of("a", "z"), replica_of("b", "z")});
    table.set_reported_load(endpoint_id{"a"}, {4, 3, 4}, now);
    EXPECT_EQ(
        table.choose(need_of(0), std::nullopt, now)->target.id,
        endpoint_id{"b"});
}

TEST(replica_list, returns_the_replicas_that_leave_or_were_removed)
{
    auto table = table_of(
        {replica_of("a", "z"), replica_of("b", "z"), replica_of("c", "z")});
    auto draining = replica_of("b", "z");
    draining.leaving = true;
    auto const leaving = table.set_replicas({draining, replica_of("c", "z")});
    ASSERT_EQ(leaving.size(), 2U);
    EXPECT_EQ(leaving[0].id, endpoint_id{"a"});
    EXPECT_EQ(leaving[1].id, endpoint_id{"b"});
    EXPECT_TRUE(table.set_replicas({draining, replica_of("c", "z")}).empty());
}

} // namespace
} // namespace sapphirereel::relay
