// Guards against a part of an answer that looks whole after it came through a
// peer: the replica, or the peer itself, is lost while an upload is written to
// it.
#include "support/relay/early_replica.hpp"
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto uploads_per_route = 4;

constexpr auto entries = 20;

/// Two daemons; the first one reaches no replica.
struct uploading_fleet
{
    explicit uploading_fleet(framing framed)
        : replica(
              fleet.loop,
              [framed](std::string const& request) {
                  return whole_response(request_id_of(request), framed);
              },
              {ending::reset, std::chrono::milliseconds{30}})
        , closed(fleet.loop, unreachable_port::kind::refused)
    {
        for (auto at = 0; at < entries; ++at)
        {
            fleet.add(fmt::format("p{}", at), "plain", replica.port());
            fleet.add(fmt::format("e{}", at), "engine", replica.port());
        }
        fleet.divert(0, {{replica.port(), closed.port}});
    }

    /// Has the connections of the first daemon to the other one end at the
    /// replica, as if that daemon were lost.
    auto lose_peer() -> void
    {
        fleet.divert_peers(0, replica.port(), closed.port);
    }

    auto expect_no_success() -> void
    {
        for (auto const* const route : {"safe", "once", "stream", "resumable"})
        {
            for (auto count = 0; count < uploads_per_route; ++count)
            {
                auto const answer = send_upload(
                    fleet, pool, fleet.caller_address(0), route, requests++);
                EXPECT_TRUE(!answer || answer->head.status / 100 == 5)
                    << route << " " << answer->body;
            }
        }
        EXPECT_GT(replica.uploads, 0);
    }

    relay_fleet fleet{2};
    early_replica replica;
    unreachable_port closed;
    upstream_pool pool{fleet.loop};
    int requests = 0;
};

TEST(early_answer_through_a_peer, of_a_lost_replica_is_not_whole)
{
    auto with = uploading_fleet{framing::none};
    ASSERT_TRUE(with.fleet.start());
    with.expect_no_success();
}

TEST(early_answer_through_a_peer, of_a_lost_peer_is_not_whole)
{
    auto with = uploading_fleet{framing::none};
    ASSERT_TRUE(with.fleet.start());
    with.lose_peer();
    with.expect_no_success();
}

// The framing proves that the answer is whole.
TEST(early_answer_through_a_peer, that_states_its_length_is_served)
{
    auto with = uploading_fleet{framing::length};
    ASSERT_TRUE(with.fleet.start());
    for (auto const* const route : {"safe", "once", "stream", "resumable"})
    {
        auto const answer = send_upload(
            with.fleet, with.pool, with.fleet.caller_address(0), route,
            with.requests++);
        ASSERT_TRUE(answer) << route << answer.error().detail;
        EXPECT_EQ(answer->head.status, 200) << route << answer->body;
        EXPECT_TRUE(answer->body.ends_with("data: e2\n\n")) << answer->body;
    }
}

} // namespace
} // namespace sapphirereel::relay::test
