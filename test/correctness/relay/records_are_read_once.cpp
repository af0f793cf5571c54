// Guards against small changes that cost as much as the configuration: each
// change of its stream, as an evacuation, once had every record read again.
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto times_logged(relay_fixture const& world, std::string_view message)
    -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        world.lines.begin(), world.lines.end(), [&](std::string const& line) {
            return line.find(message) != std::string::npos;
        }));
}

TEST(configuration_record, is_read_once_whatever_else_changes)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", replica);
    ASSERT_TRUE(world.start());
    auto const& evacuated = world.node().state().replicas.evacuated();
    world.log.write(keyed_stream::configuration, "config", "no JSON");
    for (auto const* const zone : {"a", "b", "c"})
    {
        auto const before = evacuated.size();
        world.log.write(
            keyed_stream::configuration, std::string{"evacuate/"} + zone, "{}");
        ASSERT_TRUE(world.run_until([&] { return evacuated.size() > before; }));
    }
    // Each reading of the record warns of it.
    EXPECT_EQ(
        times_logged(world, "ignored an invalid configuration record"), 1U);
    // The version before it stays in force, and the next one is read.
    EXPECT_EQ(world.node().state().table->configuration().version, 1U);
    world.configure(2);
    EXPECT_TRUE(world.run_until([&] {
        return world.node().state().table->configuration().version == 2;
    }));
}

} // namespace
} // namespace sapphirereel::relay::test
