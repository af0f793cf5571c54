// An evacuation is an operator's record in the log. All daemons must know it
// soon, also those that join while the log can't be read, and the set of
// evacuated zones must be what the records say.
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using zones = std::set<zone_name>;

auto const evacuated = std::optional<std::string>{"{}"};

auto write_evacuation(
    fake_log& log,
    std::string const& zone,
    std::optional<std::string> value = evacuated) -> void
{
    log.write(
        keyed_stream::configuration, "evacuate/" + zone, std::move(value));
}

auto known_at(relay_fixture& world) -> zones const&
{
    return world.node().state().replicas.evacuated();
}

TEST(evacuation_record, names_its_zone)
{
    using deployment::record_reader;
    EXPECT_EQ(
        record_reader::read_evacuation({"evacuate/z1", 1, "{}"}),
        zone_name{"z1"});
    // An order that is written with another value is still an order.
    EXPECT_EQ(
        record_reader::read_evacuation({"evacuate/z1", 1, "true"}),
        zone_name{"z1"});
    EXPECT_FALSE(record_reader::read_evacuation({"config", 1, "{}"}));
    EXPECT_FALSE(record_reader::read_evacuation({"evacuate/", 1, "{}"}));
    EXPECT_FALSE(record_reader::read_evacuation({"evacuate/a/b", 1, "{}"}));
}

TEST(evacuation_change, names_the_zones_that_differ)
{
    auto const a = zone_name{"a"};
    auto const b = zone_name{"b"};
    auto const c = zone_name{"c"};
    auto const change = evacuation_change::between({a, b}, {b, c});
    EXPECT_EQ(change.begun, zones{c});
    EXPECT_EQ(change.ended, zones{a});
    EXPECT_TRUE(evacuation_change::between({a}, {a}).is_empty());
    EXPECT_EQ(names_of({a, b}), "a,b");
}

struct evacuated_fixture : relay_fixture
{
    evacuated_fixture()
        : replica(loop, serve_normally)
    {
        configure(1);
        add("one", "plain", replica);
    }

    fake_replica replica;
};

TEST(evacuation, of_several_zones_is_withdrawn_and_repeated_zone_by_zone)
{
    auto world = evacuated_fixture{};
    ASSERT_TRUE(world.start());
    auto const becomes = [&](zones const& expected) {
        return world.run_until([&] { return known_at(world) == expected; });
    };
    write_evacuation(world.log, "a");
    write_evacuation(world.log, "b");
    EXPECT_TRUE(becomes({zone_name{"a"}, zone_name{"b"}}));
    // A repeated order and the withdrawal of none change nothing.
    write_evacuation(world.log, "a");
    write_evacuation(world.log, "c", std::nullopt);
    write_evacuation(world.log, "b", std::nullopt);
    EXPECT_TRUE(becomes({zone_name{"a"}}));
    write_evacuation(world.log, "a", std::nullopt);
    EXPECT_TRUE(becomes({}));
    write_evacuation(world.log, "a");
    EXPECT_TRUE(becomes({zone_name{"a"}}));
    EXPECT_EQ(
        world.node().state().metrics.value(relay_counter::zones_evacuated), 3U);
}

TEST(evacuation, that_a_restored_log_lacks_is_withdrawn)
{
    auto world = evacuated_fixture{};
    ASSERT_TRUE(world.start());
    write_evacuation(world.log, "a");
    ASSERT_TRUE(world.run_until([&] { return !known_at(world).empty(); }));
    world.log.restore(keyed_stream::configuration, 1);
    EXPECT_TRUE(world.run_until([&] { return known_at(world).empty(); }));
}

TEST(evacuation, with_an_invalid_key_is_ignored_with_one_warning)
{
    auto world = evacuated_fixture{};
    ASSERT_TRUE(world.start());
    world.log.write(keyed_stream::configuration, "evacuate/", "{}");
    ASSERT_TRUE(world.run_until(
        [&] { return world.logged("a record with an unknown key"); }));
    world.configure(2);
    ASSERT_TRUE(world.run_until([&] {
        return world.node().state().table->configuration().version == 2;
    }));
    EXPECT_TRUE(known_at(world).empty());
    EXPECT_EQ(
        std::count_if(
            world.lines.begin(), world.lines.end(),
            [](std::string const& line) {
                return line.find("unknown key") != std::string::npos;
            }),
        1);
}

/// Whether all daemons of a fleet know the same evacuations.
auto all_know(relay_fleet& fleet, zones const& expected) -> bool
{
    return fleet.run_until([&] {
        return std::all_of(
            fleet.nodes.begin(), fleet.nodes.end(), [&](auto const& each) {
                return each->state().replicas.evacuated() == expected;
            });
    });
}

// The log may be unreachable when a daemon starts: a peer's copy tells it.
TEST(evacuation, reaches_daemons_that_join_while_the_log_is_unreachable)
{
    auto fleet = relay_fleet{3};
    auto replica = fake_replica{fleet.loop, serve_normally};
    fleet.add("one", "plain", replica.port);
    write_evacuation(*fleet.logs[0], "z");
    for (auto const at : {1U, 2U})
    {
        fleet.logs[at]->is_reachable = false;
    }
    ASSERT_TRUE(fleet.start());
    EXPECT_TRUE(all_know(fleet, {zone_name{"z"}}));
    for (auto const at : {0U, 1U, 2U})
    {
        fleet.send_request(at, "/once/a");
    }
    ASSERT_TRUE(fleet.run_until([&] { return fleet.responses.size() == 3; }));
    EXPECT_EQ(fleet.count_of(503), 3U);
    EXPECT_TRUE(replica.requests.empty());
}

// One daemon alone reads the log; the others must know what it reads.
TEST(evacuation, and_its_end_reach_daemons_that_lost_the_log)
{
    auto fleet = relay_fleet{3};
    auto replica = fake_replica{fleet.loop, serve_normally};
    fleet.add("one", "plain", replica.port);
    ASSERT_TRUE(fleet.start());
    for (auto const at : {1U, 2U})
    {
        fleet.logs[at]->is_reachable = false;
    }
    write_evacuation(*fleet.logs[0], "z");
    EXPECT_TRUE(all_know(fleet, {zone_name{"z"}}));
    write_evacuation(*fleet.logs[0], "z", std::nullopt);
    EXPECT_TRUE(all_know(fleet, {}));
}

} // namespace
} // namespace sapphirereel::relay::test
