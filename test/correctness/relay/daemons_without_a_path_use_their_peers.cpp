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

/// Three daemons; the first one finds other ports in the replicas' records, at
/// which it reaches none of them.
struct partitioned_daemon
{
    explicit partitioned_daemon(unreachable_port::kind how)
    {
        for (auto at = 0; at < 4; ++at)
        {
            cut.emplace_back(fleet.loop, how);
        }
        auto const list = [&](fake_log& log, std::array<std::uint16_t, 4> at) {
            add_replica(log, "p1", "plain", at[0]);
            add_replica(log, "p2", "plain", at[1]);
            add_replica(log, "e1", "engine", at[2]);
            add_replica(log, "e2", "engine", at[3]);
        };
        list(
            *fleet.logs[0],
            {cut[0].port, cut[1].port, cut[2].port, cut[3].port});
        for (auto at = 1U; at < fleet.logs.size(); ++at)
        {
            list(
                *fleet.logs[at], {plain[0].port, plain[1].port, engines[0].port,
                                  engines[1].port});
        }
    }

    /// Sends requests of each kind to the partitioned daemon for a time;
    /// returns the share that was served.
    auto served_share(int rounds) -> double
    {
        auto const before = fleet.count_of(200);
        auto const sent = fleet.responses.size() + 3U * rounds;
        for (auto round = 0; round < rounds; ++round)
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
