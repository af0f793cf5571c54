// Guards against replicas that stop within the heads of their responses and are
// taken for a lost path: requests would go through a peer, or be refused,
// though the daemon reaches the replicas.
#include "support/relay/cutting_replica.hpp"
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// Two daemons before two replicas that cut their responses.
struct cutting_fleet
{
    explicit cutting_fleet(ending how)
        : one(fleet.loop, framing::length, how)
        , two(fleet.loop, framing::length, how)
    {
        for (auto const* const service : {"plain", "engine"})
        {
            fleet.add(fmt::format("{}-1", service), service, one.port());
            fleet.add(fmt::format("{}-2", service), service, two.port());
        }
    }

    auto send(std::string const& target) -> void
    {
        auto const before = fleet.responses.size();
        fleet.send_request(
            0, target, {{"X-Sapphirereel-Token-Count", "10,20"}});
        EXPECT_TRUE(
            fleet.run_until([&] { return fleet.responses.size() > before; }));
    }

    relay_fleet fleet{2};
    cutting_replica one;
    cutting_replica two;
};

class cut_head : public testing::TestWithParam<ending>
{};

TEST_P(cut_head, is_no_sign_of_a_lost_path)
{
    auto with = cutting_fleet{GetParam()};
    ASSERT_TRUE(with.fleet.start());
    auto& paths = with.fleet.nodes[0]->state().paths;
    for (auto const* const route : {"once", "safe", "stream"})
    {
        for (auto const position : {9, 12, 15, 20, 30, 40})
        {
            with.send(fmt::format("/{}/cut-{}", route, position));
            EXPECT_TRUE(paths.lost_services(telemetry::monotonic_now()).empty())
                << route << " " << position;
        }
    }
    EXPECT_FALSE(with.fleet.logged("received from a peer"));
}

INSTANTIATE_TEST_SUITE_P(
    endings, cut_head, testing::Values(ending::in_order, ending::reset));

} // namespace
} // namespace sapphirereel::relay::test
