#include "support/relay/raw_caller.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

/// A relay before one engine, with routes to it of which one is urgent, and
/// callers whose streams are held while the engine's memory is taken.
struct competing_callers
{
    competing_callers()
        : replica(
              world.loop,
              [](std::shared_ptr<caller_session> const& from,
                 http::request const& request) {
                  from->begin_stream(200, "OK", signed_fields(request));
                  from->stream("id: 1\ndata: e1\n\n");
                  from->finish_stream();
              })
    {
        world.log.write(
            keyed_stream::configuration, "config",
            R"({"version":1,"routes":[)"
            R"({"name":"urgent","host":"h","path-prefix":"/urgent/",)"
            R"("kind":"streaming","service":"engine","timeout-ms":6000,)"
            R"("target-latency-ms":1500},)"
            R"({"name":"long","host":"h","path-prefix":"/long/","priority":2,)"
            R"("kind":"streaming","service":"engine","timeout-ms":39000,)"
            R"("target-latency-ms":4000}],)"
            R"("services":[{"name":"engine","engine":{)"
            R"("kv-cache-tokens":9000,"kv-token-bytes":10,"link-mbps":1000,)"
            R"("stride":1}}]})");
        world.add("one", "engine", replica);
    }

    auto ask(std::string_view path) -> void
    {
        callers.push_back(
            std::make_unique<raw_caller>(world.loop, world.caller_address()));
        callers.back()->write(fmt::format(
            "GET {} HTTP/1.1\r\nHost: h\r\nX-Sapphirereel-Request-Id: r{}\r\n"
            "X-Sapphirereel-Token-Count: 1000,20\r\n\r\n",
            path, callers.size()));
        run_for(milliseconds{20});
    }

    auto run_for(milliseconds length) -> void
    {
        auto const end = std::chrono::steady_clock::now() + length;
        world.run_until(
            [end] { return std::chrono::steady_clock::now() >= end; });
    }

    auto held() -> std::vector<waiting_entry>
    {
        return world.node().state().held.entries_to_report(
            [](auto const&) { return true; });
    }

    relay_fixture world;
    fake_replica replica;
    std::vector<std::unique_ptr<raw_caller>> callers;
    replica_load const full{1, 30'000, 0, 0};
};

// Guards against held streams that are sent in the order of their timers, and
// against a stream that is sent in another one's turn and by its own timer.
TEST(competing_callers, are_served_by_urgency_and_once)
{
    auto with = competing_callers{};
    ASSERT_TRUE(with.world.start());
    auto& replicas = with.world.node().state().replicas;
    replicas.add(endpoint_id{"one"}, with.full);
    for (auto const* const path :
         {"/long/a", "/long/b", "/urgent/a", "/long/c", "/urgent/b"})
    {
        with.ask(path);
    }
    with.run_for(milliseconds{200});
    EXPECT_TRUE(with.replica.requests.empty());
    auto const held = with.held();
    ASSERT_EQ(held.size(), 2U);
    EXPECT_EQ(held.front().priority, 0);
    EXPECT_EQ(held.front().count, 2U);
    EXPECT_EQ(held.back().count, 3U);
    replicas.remove(endpoint_id{"one"}, with.full);
    // All timers expire together, so that the first one's turn sends streams
    // whose handlers are queued.
    std::this_thread::sleep_for(milliseconds{80});
    with.run_for(milliseconds{500});
    auto order = std::vector<std::string>{};
    for (auto const& each : with.replica.requests)
    {
        order.push_back(each.target);
    }
    // The two last of equal urgency may arrive over separate connections in
    // either order.
    ASSERT_EQ(order.size(), 5U);
    auto const urgent = std::set<std::string>{order[0], order[1]};
    EXPECT_EQ(urgent, (std::set<std::string>{"/urgent/a", "/urgent/b"}));
    EXPECT_EQ(std::set<std::string>(order.begin(), order.end()).size(), 5U);
    EXPECT_TRUE(with.held().empty());
}

// Guards against streams that starve while more urgent ones wait at a peer.
TEST(competing_callers, are_served_after_half_their_target)
{
    auto with = competing_callers{};
    ASSERT_TRUE(with.world.start());
    auto& held = with.world.node().state().held;
    auto const report = [&] {
        held.set_peer_entries(
            daemon_id{"peer"}, {{service_name{"engine"}, 0, 5, 5'000}},
            telemetry::monotonic_now());
    };
    report();
    with.ask("/long/a");
    for (auto round = 0; round < 3; ++round)
    {
        with.run_for(milliseconds{400});
        report();
        EXPECT_TRUE(with.replica.requests.empty());
    }
    EXPECT_TRUE(with.world.run_until([&] {
        report();
        return with.replica.requests.size() == 1;
    }));
}

} // namespace
} // namespace sapphirereel::relay::test
