// A daemon hands a request to a peer, which answers 503. Only the peer's own
// statement tells that no replica ran the request: the peer may have passed on
// what a replica wrote.
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto statement_name = "Sapphirereel-Refused-By-Peer";

/// A relay that reaches no replica, and a peer that answers as a test says.
struct daemon_with_a_peer
{
    explicit daemon_with_a_peer(http::field_list fields)
        : peer(
              world.loop,
              [fields = std::move(fields)](
                  std::shared_ptr<caller_session> const& from,
                  http::request const&) { from->respond(503, fields, "full"); })
    {
        world.configure(1);
        world.add_at("p", "plain", nowhere.port);
        world.add_at("e", "engine", nowhere.port);
    }

    auto response_to(std::string const& target) -> buffered_response
    {
        EXPECT_TRUE(world.start());
        world.node().state().choose_peer =
            [this](auto const&, auto const& excluded, time_point) {
                auto const ip = process_loopback_ip();
                return excluded.contains(ip)
                           ? std::nullopt
                           : std::optional{listen_address{ip, peer.port}};
            };
        auto answer = world.send_request("POST", target);
        EXPECT_EQ(peer.requests.size(), 1U);
        return answer;
    }

    relay_fixture world;
    unreachable_port nowhere{world.loop, unreachable_port::kind::refused};
    fake_replica peer;
};

auto expect_status(
    std::string const& target, http::field_list const& fields, int status)
    -> void
{
    auto with = daemon_with_a_peer{fields};
    auto const answer = with.response_to(target);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, status);
    EXPECT_FALSE(http::find(answer->head.fields, statement_name));
}

TEST(peers_refusal, is_believed_if_it_states_that_nothing_ran)
{
    for (auto const* target : {"/once/a", "/stream/a"})
    {
        expect_status(target, {{statement_name, "r1"}}, 503);
    }
}

TEST(peers_refusal, without_the_statement_is_not_believed)
{
    for (auto const* target : {"/once/a", "/stream/a"})
    {
        expect_status(target, {}, 502);
        expect_status(target, {{"X-Sapphirereel-Not-Executed", "1"}}, 502);
    }
}

TEST(peers_refusal, of_another_request_is_not_believed)
{
    expect_status("/once/a", {{statement_name, "r0"}}, 502);
}

} // namespace
} // namespace sapphirereel::relay::test
