// Guards against a daemon that takes up no later entries from its peers because
// their copies hold odd entries of great length.
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// Together more than a response of a peer may hold.
constexpr auto long_entries = 20;
constexpr auto entry_bytes = std::size_t{600'000};

TEST(long_odd_entries, do_not_keep_later_ones_from_a_peer)
{
    auto fleet = relay_fleet{2};
    auto replica = fake_replica{fleet.loop, serve_normally};
    for (auto at = 0; at < long_entries; ++at)
    {
        fleet.logs[0]->write(
            keyed_stream::replicas, fmt::format("odd{}", at),
            std::string(entry_bytes, '['));
    }
    add_replica(*fleet.logs[0], "before", "plain", replica.port);
    fleet.logs[1]->is_reachable = false;
    ASSERT_TRUE(fleet.start());
    add_replica(*fleet.logs[0], "after", "plain", replica.port);
    EXPECT_TRUE(fleet.run_until([&] {
        return fleet.nodes[1]->state().replicas.replicas().size() == 2;
    }));
}

} // namespace
} // namespace sapphirereel::relay::test
