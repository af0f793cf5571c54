// A daemon that is partitioned from all replicas still gets requests: its
// callers reach it, and so do its peers, which reach the replicas. It must
// serve them two thirds as often as the others do.
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto serve_events(
    std::shared_ptr<caller_session> const& from, http::request const& request)
    -> void
{
    from->begin_stream(200, "OK", signed_fields(request));
    from->stream("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
    from->finish_stream();
}

/// Three daemons; the first one reaches none of the replicas.
struct partitioned_daemon
{
    explicit partitioned_daemon(unreachable_port::kind how)
    {
        auto diverted = std::map<std::uint16_t, std::uint16_t>{};
        for (auto const* const each :
             {&plain[0], &plain[1], &engines[0], &engines[1]})
        {
            cut.emplace_back(fleet.loop, how);
            diverted[each->port] = cut.back().port;
        }
        fleet.divert(0, std::move(diverted));
        fleet.add("p1", "plain", plain[0].port);
        fleet.add("p2", "plain", plain[1].port);
        fleet.add("e1", "engine", engines[0].port);
        fleet.add("e2", "engine", engines[1].port);
    }

    /// Sends requests of each kind to the partitioned daemon for a time;
    /// returns the share that was served.
    auto served_share(unsigned rounds) -> double
    {
        auto const before = fleet.count_of(200);
        auto const sent = fleet.responses.size() + 3 * std::size_t{rounds};
        for (auto round = 0U; round < rounds; ++round)
        {
            for (auto const* const target : {"/safe/a", "/once/a", "/stream/a"})
            {
                fleet.send_request(
                    0, target, {{"X-Sapphirereel-Token-Count", "10,20"}});
                fleet.run_for(std::chrono::milliseconds{40});
            }
        }
        EXPECT_TRUE(
            fleet.run_until([&] { return fleet.responses.size() == sent; }));
        return static_cast<double>(fleet.count_of(200) - before) /
               (3.0 * rounds);
    }

    relay_fleet fleet{3};
    std::deque<unreachable_port> cut;
    std::deque<fake_replica> plain = make_replicas(serve_normally);
    std::deque<fake_replica> engines = make_replicas(serve_events);

private:
    auto make_replicas(fake_replica::handler const& serve)
        -> std::deque<fake_replica>
    {
        auto made = std::deque<fake_replica>{};
        made.emplace_back(fleet.loop, serve);
        made.emplace_back(fleet.loop, serve);
        return made;
    }
};

// Replicas that reject a request are reached. Peers that got it as well would
// send it to them once more each, beyond the retry budget.
TEST(daemon_with_a_path, forwards_no_request_that_replicas_reject)
{
    auto fleet = relay_fleet{3};
    auto full = fake_replica{
        fleet.loop, [](auto const& from, http::request const& request) {
            auto fields = signed_fields(request);
            fields.pop_back();
            fields.push_back({"X-Sapphirereel-Not-Executed", "1"});
            from->respond(503, fields, {});
        }};
    fleet.add("p1", "plain", full.port);
    ASSERT_TRUE(fleet.start());
    for (auto at = 0; at < 10; ++at)
    {
        fleet.send_request(0, at % 2 == 0 ? "/safe/a" : "/once/a");
        fleet.run_for(std::chrono::milliseconds{20});
    }
    ASSERT_TRUE(fleet.run_until([&] { return fleet.responses.size() == 10; }));
    EXPECT_EQ(fleet.count_of(503), 10U);
    EXPECT_EQ(full.requests.size(), 10U);
    EXPECT_FALSE(fleet.logged("received from a peer"));
}

auto expect_served(unreachable_port::kind how) -> void
{
    auto world = partitioned_daemon{how};
    ASSERT_TRUE(world.fleet.start());
    // The rule counts from 3 s after the partition began.
    world.served_share(25);
    EXPECT_GE(world.served_share(20), 2.0 / 3.0);
}

TEST(partitioned_daemon, serves_its_callers_if_connections_are_refused)
{
    expect_served(unreachable_port::kind::refused);
}

TEST(partitioned_daemon, serves_its_callers_if_connections_are_reset)
{
    expect_served(unreachable_port::kind::reset);
}

TEST(partitioned_daemon, serves_its_callers_if_connections_are_dropped)
{
    expect_served(unreachable_port::kind::dropped);
}

TEST(partitioned_daemon, serves_its_callers_if_connections_are_silent)
{
    expect_served(unreachable_port::kind::silent);
}

} // namespace
} // namespace sapphirereel::relay::test
