// Guards against a request that runs more often than its route permits because
// the daemon that forwards it doesn't count what its peers attempt.
#include "support/relay/cutting_replica.hpp"
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto peers = std::size_t{4};

/// Daemons before replicas that run requests and end the connection without a
/// response; the first daemon reaches none of them.
struct forwarding_fleet
{
    explicit forwarding_fleet()
        : one(fleet.loop, framing::length, ending::in_order)
        , two(fleet.loop, framing::length, ending::in_order)
        , closed(fleet.loop, unreachable_port::kind::refused)
    {
        fleet.add("p1", "plain", one.port());
        fleet.add("p2", "plain", two.port());
        fleet.divert(0, {{one.port(), closed.port}, {two.port(), closed.port}});
    }

    auto send(std::string const& target) -> buffered_response
    {
        auto const before = fleet.responses.size();
        fleet.send_request(0, target);
        EXPECT_TRUE(
            fleet.run_until([&] { return fleet.responses.size() > before; }));
        return fleet.responses.back();
    }

    [[nodiscard]] auto forwards() const -> std::uint64_t
    {
        return fleet.nodes[0]->state().metrics.value(relay_counter::forwards);
    }

    relay_fleet fleet{peers};
    cutting_replica one;
    cutting_replica two;
    unreachable_port closed;
};

// The route permits two attempts: one of a peer, one of the next.
TEST(forwarded_request, is_attempted_as_often_as_its_route_permits)
{
    auto with = forwarding_fleet{};
    ASSERT_TRUE(with.fleet.start());
    auto const answer = with.send("/safe/cut-0");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_EQ(with.one.arrivals + with.two.arrivals, 2);
    EXPECT_EQ(with.forwards(), 2U);
}

TEST(forwarded_request, that_may_run_once_is_forwarded_once)
{
    auto with = forwarding_fleet{};
    ASSERT_TRUE(with.fleet.start());
    auto const answer = with.send("/once/cut-0");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_EQ(with.one.arrivals + with.two.arrivals, 1);
    EXPECT_EQ(with.forwards(), 1U);
}

// A lost peer counts with the attempts that it was permitted.
TEST(forwarded_request, that_peers_lose_counts_as_attempted_there)
{
    auto with = forwarding_fleet{};
    ASSERT_TRUE(with.fleet.start());
    auto& fleet = with.fleet;
    // All connections of the first daemon end at a process that breaks them.
    fleet.nodes[0]->state().pool.set_connector(
        [&](asio::ip::tcp::endpoint to, duration limit,
            connection::connect_handler done) {
            auto const is_peer =
                to.address().to_string() != process_loopback_ip();
            to = {
                asio::ip::make_address(process_loopback_ip()),
                is_peer ? with.one.port() : with.closed.port};
            connection::connect(fleet.loop, to, limit, std::move(done));
        });
    auto const answer = with.send("/safe/cut-0");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_EQ(with.one.arrivals, 2);
    EXPECT_EQ(with.forwards(), 2U);
}

// Guards against a request that waits for one silent replica of a peer until
// its deadline, though its route permits another attempt.
TEST(forwarded_request, that_a_replica_does_not_answer_goes_to_another_peer)
{
    auto fleet = relay_fleet{peers};
    auto arrivals = 0;
    auto replica = fake_replica{
        fleet.loop, [&](auto const& from, http::request const& request) {
            if (++arrivals > 1)
            {
                serve_normally(from, request);
            }
        }};
    auto const closed =
        unreachable_port{fleet.loop, unreachable_port::kind::refused};
    fleet.add("p1", "plain", replica.port);
    fleet.divert(0, {{replica.port, closed.port}});
    ASSERT_TRUE(fleet.start());
    fleet.send_request(0, "/safe/a");
    ASSERT_TRUE(fleet.run_until([&] { return !fleet.responses.empty(); }));
    EXPECT_EQ(fleet.count_of(200), 1U);
    EXPECT_EQ(arrivals, 2);
}

// Guards against a replica's failure that is replaced by a peer's.
TEST(forwarded_request, that_fails_gets_the_failure_of_the_replica)
{
    auto fleet = relay_fleet{peers};
    auto arrivals = 0;
    auto replica = fake_replica{
        fleet.loop, [&](auto const& from, http::request const& request) {
            if (++arrivals == 1)
            {
                from->respond(500, signed_fields(request), "broken");
                return;
            }
            from->abort();
        }};
    auto const closed =
        unreachable_port{fleet.loop, unreachable_port::kind::refused};
    fleet.add("p1", "plain", replica.port);
    fleet.divert(0, {{replica.port, closed.port}});
    ASSERT_TRUE(fleet.start());
    fleet.send_request(0, "/safe/a");
    ASSERT_TRUE(fleet.run_until([&] { return !fleet.responses.empty(); }));
    EXPECT_EQ(fleet.count_of(500), 1U);
    EXPECT_EQ(arrivals, 2);
}

TEST(forward_terms, leave_one_attempt_for_another_peer)
{
    EXPECT_EQ(attempts_for_peer(1, 0), 1U);
    EXPECT_EQ(attempts_for_peer(2, 0), 1U);
    EXPECT_EQ(attempts_for_peer(2, 1), 1U);
    EXPECT_EQ(attempts_for_peer(5, 1), 3U);
}

TEST(forward_terms, that_cannot_be_read_leave_the_limit_of_the_route)
{
    for (auto const* const odd : {"0", "-1", "1x", "", "99999999999"})
    {
        auto fields = http::field_list{
            {forwarded_by_name, "peer"}, {permitted_attempts_name, odd}};
        EXPECT_EQ(take_forward_terms(fields), forward_terms{}) << odd;
        EXPECT_TRUE(fields.empty());
    }
    auto fields = http::field_list{{permitted_attempts_name, "3"}};
    EXPECT_EQ(take_forward_terms(fields), forward_terms{3});
}

} // namespace
} // namespace sapphirereel::relay::test
