// Guards against a configuration that is in force too late, or nowhere, because
// of its size: copies between daemons that are given up after a fixed time and
// begun anew never arrive where links are narrow (CONFIG).
#include "support/relay/large_configuration.hpp"
#include "support/relay/narrow_links.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// A link of 3.3 megabits per second. It is narrower than a weak VM's, and the
/// configurations are shorter by as much, so that the processor time of all
/// daemons of the test's process together, also under a sanitizer, does not
/// decide the outcome.
constexpr auto narrow = 0.417e6;

/// A fleet over narrow links in which only the first daemon reads versions that
/// are published after the start.
struct narrow_fleet
{
    explicit narrow_fleet(std::size_t daemons, double bytes_per_second = narrow)
        : fleet(daemons)
        , links(fleet, bytes_per_second)
    {
        fleet.add("one", "plain", free_port(fleet.loop));
    }

    /// Starts the daemons and waits until they poll the log regularly.
    auto start() -> bool
    {
        auto const started = fleet.start();
        fleet.run_for(discovery_time + std::chrono::milliseconds{300});
        return started;
    }

    auto publish(std::uint64_t version, std::string configuration) -> void
    {
        fleet.logs.front()->write(
            keyed_stream::configuration, "config", std::move(configuration));
        published = version;
    }

    [[nodiscard]] auto version_of(std::size_t daemon) const -> std::uint64_t
    {
        auto const& table = fleet.nodes[daemon]->state().table;
        return table ? table->configuration().version : 0;
    }

    [[nodiscard]] auto is_in_force_everywhere() const -> bool
    {
        for (auto at = std::size_t{0}; at < fleet.nodes.size(); ++at)
        {
            if (version_of(at) != published)
            {
                return false;
            }
        }
        return true;
    }

    relay_fleet fleet;
    narrow_links links;
    std::uint64_t published = 1;
};

TEST(large_configuration, of_two_link_seconds_reaches_every_daemon)
{
    auto world = narrow_fleet{6};
    ASSERT_TRUE(world.start());
    world.publish(2, large_configuration(2, 300'000));
    EXPECT_TRUE(
        world.fleet.run_until([&] { return world.is_in_force_everywhere(); }));
}

TEST(large_configuration, that_takes_a_link_for_seconds_arrives)
{
    auto world = narrow_fleet{2, narrow / 3};
    ASSERT_TRUE(world.start());
    world.publish(2, large_configuration(2, 440'000));
    EXPECT_TRUE(
        world.fleet.run_until([&] { return world.is_in_force_everywhere(); }));
}

/// Versions that follow each other 0.33 s apart, over 8 seconds.
constexpr auto max_versions = std::uint64_t{25};

TEST(large_configuration, is_not_begun_anew_for_each_newer_version)
{
    auto world = narrow_fleet{4};
    ASSERT_TRUE(world.start());
    // Each version shares nothing with the one before it, and follows before
    // that can have passed a link.
    auto version = std::uint64_t{1};
    while (world.version_of(3) == 1 && version < max_versions)
    {
        ++version;
        world.publish(version, large_configuration(version, 200'000, version));
        world.fleet.run_for(std::chrono::milliseconds{330});
    }
    EXPECT_GE(world.version_of(3), 2U);
    EXPECT_TRUE(
        world.fleet.run_until([&] { return world.is_in_force_everywhere(); }));
}

TEST(small_change, of_a_large_configuration_costs_a_small_part_of_it)
{
    auto world = narrow_fleet{2};
    ASSERT_TRUE(world.start());
    world.publish(2, large_configuration(2, 200'000));
    ASSERT_TRUE(
        world.fleet.run_until([&] { return world.is_in_force_everywhere(); }));
    auto const before = world.links.link_of(1).in.passed();
    world.publish(3, large_configuration(3, 200'000));
    ASSERT_TRUE(
        world.fleet.run_until([&] { return world.is_in_force_everywhere(); }));
    EXPECT_LT(world.links.link_of(1).in.passed() - before, 50'000U);
}

TEST(evacuation, does_not_wait_behind_a_large_configuration)
{
    auto world = narrow_fleet{2, narrow / 5};
    ASSERT_TRUE(world.start());
    world.publish(2, large_configuration(2, 270'000));
    world.fleet.logs.front()->write(
        keyed_stream::configuration, "evacuate/z9", "{}");
    auto const& known = world.fleet.nodes[1]->state().replicas.evacuated();
    EXPECT_TRUE(world.fleet.run_until([&] { return !known.empty(); }));
    // The link needs more than three seconds for the configuration alone.
    EXPECT_EQ(world.version_of(1), 1U);
}

} // namespace
} // namespace sapphirereel::relay::test
