// The log may come back from a copy some seconds old, in which its last records
// are missing and offsets are assigned again. What was in force stays so, and
// replicas that left or vanished do not come back with their old records.
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::seconds;

constexpr auto now = time_point{seconds{50}};

auto at_era(std::uint64_t era, std::uint64_t offset) -> log_position
{
    return {offset, era};
}

TEST(positions, of_a_later_era_are_later_at_any_offset)
{
    EXPECT_LT(at_era(1, 900), at_era(2, 0));
    EXPECT_LT(at_era(2, 3), at_era(2, 4));
}

TEST(copy_of_a_restored_log, takes_the_place_of_the_one_before)
{
    auto cache = record_cache{};
    cache.apply_snapshot(
        {{"a", at_era(1, 5), "new"}, {"b", at_era(1, 6), "gone later"}},
        at_era(1, 7));
    EXPECT_TRUE(
        cache.apply_snapshot({{"a", at_era(2, 3), "old"}}, at_era(2, 4)));
    EXPECT_EQ(cache.next(), at_era(2, 4));
    ASSERT_EQ(cache.newest().size(), 1U);
    EXPECT_EQ(cache.newest()[0].value, "old");
    // A delayed answer of the era before changes nothing.
    EXPECT_FALSE(
        cache.apply_snapshot({{"b", at_era(1, 9), "late"}}, at_era(1, 10)));
    EXPECT_EQ(cache.next(), at_era(2, 4));
    EXPECT_EQ(cache.newest().size(), 1U);
    // The restored log assigns offsets again.
    EXPECT_TRUE(
        cache.apply_changes({{"b", at_era(2, 4), "again"}}, at_era(2, 5)));
    EXPECT_EQ(cache.newest().size(), 2U);
}

TEST(copy_of_a_restored_log, may_begin_empty)
{
    auto cache = record_cache{};
    cache.apply_snapshot({{"a", at_era(1, 5), "x"}}, at_era(1, 7));
    EXPECT_TRUE(cache.apply_snapshot({}, at_era(2, 0)));
    EXPECT_TRUE(cache.newest().empty());
    EXPECT_TRUE(cache.apply_changes({{"a", at_era(2, 0), "y"}}, at_era(2, 1)));
    EXPECT_EQ(cache.newest().size(), 1U);
}

TEST(copy_of_a_restored_log, is_passed_on_whole_with_its_era)
{
    auto cache = record_cache{};
    cache.apply_snapshot({{"a", at_era(1, 5), "x"}}, at_era(1, 7));
    cache.apply_snapshot({{"a", at_era(2, 3), "x"}}, at_era(2, 4));
    auto const copy = read_copy(write_copy(copy_of(cache, at_era(1, 7))));
    ASSERT_TRUE(copy);
    EXPECT_TRUE(copy->is_snapshot);
    EXPECT_EQ(copy->page.next, at_era(2, 4));
    EXPECT_EQ(copy->page.records.at(0).position, at_era(2, 3));
    auto const asked = copy_request{keyed_stream::replicas, at_era(3, 17)};
    EXPECT_EQ(read_copy_path(copy_path(asked)), asked);
}

TEST(peer_report, of_an_earlier_version_is_understood)
{
    auto report = peer_report{};
    report.ip = "10.0.0.1";
    report.configuration_next = 9;
    report.leaving = {{endpoint_id{"a"}, 11}};
    report.known_addresses = {{"10.0.0.2", {}}};
    for (auto const version :
         {oldest_report_version, partless_report_version,
          limitless_report_version, coldless_report_version,
          previous_report_version})
    {
        report.version = version;
        EXPECT_EQ(read_peer_report(write_peer_report(report)), report);
    }
}

TEST(leaving_replica, does_not_come_back_with_a_record_of_a_restored_log)
{
    auto entries = leaving_replica_set{};
    auto const id = endpoint_id{"r"};
    // Its record vanished at its 40th renewal.
    entries.record_leaving({id, at_era(1, 900), 1'000, 40, false}, now);
    EXPECT_TRUE(entries.covers(id, {at_era(2, 850), 1'000, 38}));
    // It renews its record in the new era, so that it runs after all.
    EXPECT_FALSE(entries.covers(id, {at_era(2, 910), 1'000, 41}));
}

TEST(relay, keeps_the_configuration_in_force_when_the_log_is_restored)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", replica);
    ASSERT_TRUE(world.start());
    world.configure(5);
    auto const version = [&] {
        return world.node().state().table->configuration().version;
    };
    ASSERT_TRUE(world.run_until([&] { return version() == 5; }));
    world.log.restore(keyed_stream::configuration, 1);
    ASSERT_TRUE(world.run_until(
        [&] { return world.logged("restored from an older copy"); }));
    EXPECT_EQ(version(), 5U);
    world.configure(5);
    world.configure(6);
    EXPECT_TRUE(world.run_until([&] { return version() == 6; }));
}

// A daemon that starts after the restore takes its configuration from a peer,
// so that the peer must hand out what is in force and not the older record.
TEST(relay, hands_the_configuration_in_force_to_peers_after_a_restore)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", replica);
    ASSERT_TRUE(world.start());
    world.configure(5);
    ASSERT_TRUE(world.run_until([&] {
        return world.node().state().table->configuration().version == 5;
    }));
    world.log.restore(keyed_stream::configuration, 1);
    ASSERT_TRUE(world.run_until(
        [&] { return world.logged("restored from an older copy"); }));
    auto const answer = world.fetch_from_node(
        copy_path({keyed_stream::configuration, log_position{}}));
    ASSERT_TRUE(answer);
    auto const copy = read_copy(answer->body);
    ASSERT_TRUE(copy);
    ASSERT_EQ(copy->page.records.size(), 1U);
    auto const read =
        deployment::record_reader::read_configuration(copy->page.records[0]);
    ASSERT_TRUE(read && *read);
    EXPECT_EQ((**read).version, 5U);
}

TEST(relay, keeps_replicas_that_a_restored_log_lacks_for_a_grace_period)
{
    auto world = relay_fixture{};
    auto one = fake_replica{world.loop, serve_normally};
    auto two = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", one);
    ASSERT_TRUE(world.start());
    auto const& known = world.node().state().replicas;
    world.add("two", "plain", two);
    ASSERT_TRUE(world.run_until(
        [&] { return known.find(endpoint_id{"two"}) != nullptr; }));
    world.log.restore(keyed_stream::replicas, 1);
    ASSERT_TRUE(world.run_until(
        [&] { return world.logged("restored from an older copy"); }));
    EXPECT_NE(known.find(endpoint_id{"two"}), nullptr);
    EXPECT_TRUE(world.run_until(
        [&] { return known.find(endpoint_id{"two"}) == nullptr; }));
}

TEST(relay, sends_nothing_to_a_replica_whose_departure_a_restored_log_lacks)
{
    auto world = relay_fixture{};
    auto one = fake_replica{world.loop, serve_normally};
    auto two = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", one);
    world.add("two", "plain", two);
    ASSERT_TRUE(world.start());
    world.add("one", "plain", one, "draining");
    ASSERT_TRUE(
        world.run_until([&] { return world.logged("a replica leaves"); }));
    world.log.restore(keyed_stream::replicas, 1);
    ASSERT_TRUE(world.run_until(
        [&] { return world.logged("restored from an older copy"); }));
    for (auto at = 0; at < 6; ++at)
    {
        ASSERT_TRUE(world.send_request("GET", "/once/a"));
    }
    EXPECT_TRUE(one.requests.empty());
}

} // namespace
} // namespace sapphirereel::relay::test
