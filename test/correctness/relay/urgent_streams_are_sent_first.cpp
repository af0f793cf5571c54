#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

auto const engine = service_name{"engine"};
constexpr auto filling = replica_load{1, 30'000, 0, 0};

/// Relays before one engine, with an urgent and a less urgent route to it.
struct competing_callers
{
    explicit competing_callers(std::size_t daemons)
        : fleet(daemons)
        , replica(
              fleet.loop,
              [](std::shared_ptr<caller_session> const& from,
                 http::request const& request) {
                  from->begin_stream(200, "OK", signed_fields(request));
                  from->stream("id: 1\ndata: e1\n\n");
                  from->finish_stream();
              })
    {
        for (auto const& log : fleet.logs)
        {
            log->write(
                keyed_stream::configuration, "config",
                R"({"version":2,"routes":[{"name":"urgent","host":"h",)"
                R"("path-prefix":"/urgent/","kind":"streaming",)"
                R"("service":"engine","target-latency-ms":1500},)"
                R"({"name":"long","host":"h","path-prefix":"/long/",)"
                R"("kind":"streaming","service":"engine","priority":2,)"
                R"("target-latency-ms":4000}],"services":[{"name":"engine",)"
                R"("engine":{"kv-cache-tokens":9000,"kv-token-bytes":10,)"
                R"("link-mbps":1000,"stride":1}}]})");
        }
        fleet.add("one", "engine", replica.port);
    }

    auto ask(std::size_t daemon, std::string const& path) -> void
    {
        fleet.send_request(
            daemon, path, {{"X-Sapphirereel-Token-Count", "1000,20"}});
        fleet.run_for(milliseconds{20});
    }

    relay_fleet fleet;
    fake_replica replica;
};

// Guards against held streams that are sent in the order of their timers, and
// against a stream that is sent in another one's turn and by its own timer.
TEST(competing_callers, are_served_by_urgency_and_once)
{
    auto with = competing_callers{1};
    ASSERT_TRUE(with.fleet.start());
    auto& state = with.fleet.nodes.front()->state();
    state.replicas.add(endpoint_id{"one"}, filling);
    for (auto const* const path :
         {"/long/a", "/long/b", "/urgent/a", "/long/c", "/urgent/b"})
    {
        with.ask(0, path);
    }
    with.fleet.run_for(milliseconds{200});
    EXPECT_TRUE(with.replica.requests.empty());
    EXPECT_EQ(state.metrics.value(relay_counter::streams_held), 5U);
    state.replicas.remove(endpoint_id{"one"}, filling);
    // All timers expire together, so that the first one's turn sends streams
    // whose handlers are queued.
    std::this_thread::sleep_for(milliseconds{80});
    with.fleet.run_for(milliseconds{500});
    auto order = std::vector<std::string>{};
    for (auto const& each : with.replica.requests)
    {
        order.push_back(each.target);
    }
    // Streams sent in one turn use separate connections, so that equally urgent
    // ones may arrive in either order.
    ASSERT_EQ(order.size(), 5U);
    EXPECT_EQ(order[0].find("/urgent/"), 0U);
    EXPECT_EQ(order[1].find("/urgent/"), 0U);
    EXPECT_EQ(std::set<std::string>(order.begin(), order.end()).size(), 5U);
}

// Guards against streams that don't yield to a peer's, and against streams that
// starve while more urgent ones wait there.
TEST(competing_callers, yield_to_a_peers_for_half_their_target)
{
    auto with = competing_callers{2};
    ASSERT_TRUE(with.fleet.start());
    auto const& held = with.fleet.nodes.back()->state().held;
    with.fleet.nodes.front()->state().held.hold({engine, 0, {}, 5'000}, [] {});
    ASSERT_TRUE(with.fleet.run_until([&] {
        return held.is_any_more_urgent(engine, 2, telemetry::monotonic_now());
    }));
    with.ask(1, "/long/a");
    with.fleet.run_for(milliseconds{1'500});
    EXPECT_TRUE(with.replica.requests.empty());
    EXPECT_TRUE(with.fleet.run_until(
        [&] { return with.replica.requests.size() == 1; }));
}

} // namespace
} // namespace sapphirereel::relay::test
