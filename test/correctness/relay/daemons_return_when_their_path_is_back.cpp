// Guards against a daemon that stays out of the list of addresses after its
// path to the replicas is back, because no caller of its own tries the path.
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

TEST(daemon_with_its_path_back, is_offered_to_callers_without_a_request)
{
    auto fleet = relay_fleet{2};
    auto replica = fake_replica{fleet.loop, serve_normally};
    auto const closed =
        unreachable_port{fleet.loop, unreachable_port::kind::refused};
    fleet.add("p1", "plain", replica.port);
    fleet.divert(0, {{replica.port, closed.port}});
    ASSERT_TRUE(fleet.start());
    fleet.send_request(0, "/safe/a");
    ASSERT_TRUE(fleet.run_until(
        [&] { return fleet.nodes[1]->caller_addresses().size() == 1; }));
    fleet.divert(0, {});
    EXPECT_TRUE(fleet.run_until(
        [&] { return fleet.nodes[1]->caller_addresses().size() == 2; }));
    // The first request that comes is served on the direct way.
    fleet.send_request(0, "/safe/b");
    ASSERT_TRUE(fleet.run_until([&] { return fleet.responses.size() == 2; }));
    EXPECT_EQ(fleet.count_of(200), 2U);
    EXPECT_FALSE(fleet.nodes[0]->state().paths.is_lost(service_name{"plain"}));
}

// Guards against a daemon that stays out of the list of addresses for a service
// whose replicas are gone, though it serves the others.
TEST(daemon_without_a_path, returns_when_the_service_has_no_replica)
{
    auto fleet = relay_fleet{2};
    auto const replica = fake_replica{fleet.loop, serve_normally};
    auto const closed =
        unreachable_port{fleet.loop, unreachable_port::kind::refused};
    fleet.add("p1", "plain", replica.port);
    fleet.add("e1", "engine", replica.port);
    fleet.divert(0, {{replica.port, closed.port}});
    ASSERT_TRUE(fleet.start());
    fleet.send_request(0, "/safe/a");
    ASSERT_TRUE(fleet.run_until(
        [&] { return fleet.nodes[1]->caller_addresses().size() == 1; }));
    for (auto const& each : fleet.logs)
    {
        each->write(keyed_stream::replicas, "p1", std::nullopt);
    }
    EXPECT_TRUE(fleet.run_until(
        [&] { return fleet.nodes[1]->caller_addresses().size() == 2; }));
}

} // namespace
} // namespace sapphirereel::relay::test
