#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

TEST(relay, without_a_configuration_is_not_ready)
{
    auto world = relay_fixture{};
    ASSERT_TRUE(world.node().start());
    EXPECT_FALSE(world.node().is_ready());
    auto const answer = world.send_request("GET", "/safe/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 503);
}

TEST(relay, applies_newer_versions_and_ignores_older_ones)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    world.configure(5);
    world.add("one", "plain", replica);
    ASSERT_TRUE(world.start());
    world.configure(9);
    ASSERT_TRUE(world.run_until([&] {
        return world.node().state().table->configuration().version == 9;
    }));
    world.configure(7);
    world.configure(10);
    ASSERT_TRUE(world.run_until([&] {
        return world.node().state().table->configuration().version == 10;
    }));
    EXPECT_FALSE(world.logged("\"version\":7"));
}

TEST(relay, sends_nothing_to_a_replica_that_leaves)
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
    for (auto at = 0; at < 6; ++at)
    {
        ASSERT_TRUE(world.send_request("GET", "/once/a"));
    }
    EXPECT_TRUE(one.requests.empty());
    EXPECT_EQ(two.requests.size(), 6U);
}

TEST(relay, serves_requests_while_the_log_is_unreachable)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", replica);
    ASSERT_TRUE(world.start());
    world.log.is_reachable = false;
    world.run_until([&] { return !world.node().is_log_reachable(); });
    auto const answer = world.send_request("GET", "/once/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 200);
}

TEST(relay, keeps_a_replica_that_lapsed_during_a_log_outage_for_a_grace_period)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    auto other = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", replica);
    world.add("two", "plain", other);
    ASSERT_TRUE(world.start());
    world.log.is_reachable = false;
    ASSERT_TRUE(world.run_until([&] { return world.node().is_log_lost(); }));
    world.log.write(keyed_stream::replicas, "one", std::nullopt);
    world.log.is_reachable = true;
    ASSERT_TRUE(
        world.run_until([&] { return world.node().is_log_reachable(); }));
    auto const& known = world.node().state().replicas;
    EXPECT_NE(known.find(endpoint_id{"one"}), nullptr);
    EXPECT_TRUE(world.run_until(
        [&] { return known.find(endpoint_id{"one"}) == nullptr; }));
}

TEST(relay, that_stops_is_no_longer_ready_and_ends)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", replica);
    ASSERT_TRUE(world.start());
    auto ended = false;
    world.node().stop([&ended] { ended = true; });
    EXPECT_FALSE(world.node().is_ready());
    auto const answer = world.send_request("GET", "/once/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 200);
    EXPECT_FALSE(answer->head.keep_alive);
    EXPECT_TRUE(world.run_until([&ended] { return ended; }));
}

// Callers that cache the list of daemons still send requests to a daemon that
// is stopping; a stream that it started late would be cut off at its exit.
TEST(relay, that_stops_refuses_streams_that_it_would_cut_off)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", replica);
    world.add("two", "engine", replica);
    ASSERT_TRUE(world.start());
    world.node().stop([] {});
    world.loop.run_for(std::chrono::milliseconds{2'100});
    world.loop.restart();
    auto const stream = world.send_request("GET", "/stream/a");
    ASSERT_TRUE(stream);
    EXPECT_EQ(stream->head.status, 503);
    EXPECT_TRUE(http::find(stream->head.fields, "Retry-After"));
    EXPECT_FALSE(stream->head.keep_alive);
    EXPECT_TRUE(replica.requests.empty());
    auto const plain = world.send_request("GET", "/once/a");
    ASSERT_TRUE(plain);
    EXPECT_EQ(plain->head.status, 200);
}

} // namespace
} // namespace sapphirereel::relay::test
