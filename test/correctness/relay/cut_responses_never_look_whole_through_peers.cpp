// Guards against a response that is cut on its way through a peer, by the
// replica or by the peer itself, and looks whole to the caller.
#include "support/relay/cutting_replica.hpp"
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto entries = 40;

/// Distance of the positions at which responses are cut.
constexpr auto step = std::size_t{5};

/// Two daemons; the first one reaches no replica.
struct forwarding_world
{
    explicit forwarding_world(framing how)
        : framed(how)
        , replica(fleet.loop, how, ending::in_order)
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
    /// replica, as if that daemon cut its responses.
    auto make_peer_cut() -> void
    {
        fleet.divert_peers(0, replica.port(), closed.port);
    }

    auto send(std::size_t daemon, std::string const& target)
        -> buffered_response
    {
        auto const before = fleet.responses.size();
        fleet.send_request(
            daemon, target, {{"X-Sapphirereel-Token-Count", "10,20"}});
        fleet.run_until([&] { return fleet.responses.size() > before; });
        return fleet.responses.size() > before
                   ? fleet.responses.back()
                   : tl::unexpected(
                         call_failure{call_stage::waiting, "the test ended"});
    }

    /// Cuts responses at positions of a response and expects no whole success.
    auto expect_no_success(std::string const& route, bool is_peer_sound) -> void
    {
        auto const whole = whole_response("r100", framed);
        auto const head = head_size(whole);
        auto const end = framed == framing::none ? head : whole.size();
        auto const is_stream = route == "stream" || route == "resumable";
        for (auto at = std::size_t{0}; at < end; at += step)
        {
            auto const answer = send(0, fmt::format("/{}/cut-{}", route, at));
            if (answer && answer->head.status == 503)
            {
                // Attempts in a row without a head also close the peer's path
                // to the replicas for a while: nothing is sent then.
                EXPECT_FALSE(replica.cuts.contains(at))
                    << route << " " << at << " " << answer->body;
            }
            else if (answer)
            {
                EXPECT_EQ(answer->head.status, 502)
                    << route << " " << at << " " << answer->body;
            }
            else
            {
                // The ids of these requests differ in length.
                EXPECT_TRUE(is_stream && at + step > head) << route << at;
            }
            if (is_peer_sound)
            {
                await_service();
            }
        }
        EXPECT_GE(replica.cuts.size(), (end + step - 1) / step) << route;
        replica.cuts.clear();
    }

    /// Waits until the other daemon serves what is forwarded to it.
    auto await_service() -> void
    {
        for (auto const* const target : {"/safe/whole", "/stream/whole"})
        {
            EXPECT_TRUE(fleet.run_until([&] {
                // A request of the peer's own callers opens its path again.
                send(1, target);
                auto const answer = send(0, target);
                return answer && answer->head.status == 200;
            }));
        }
    }

    framing framed;
    relay_fleet fleet{2};
    cutting_replica replica;
    unreachable_port closed;
};

class cut_forwarded_response : public ::testing::TestWithParam<framing>
{};

TEST_P(cut_forwarded_response, of_a_replica_is_no_success)
{
    auto with = forwarding_world{GetParam()};
    ASSERT_TRUE(with.fleet.start());
    for (auto const* const route : {"safe", "once", "stream", "resumable"})
    {
        with.expect_no_success(route, true);
    }
    EXPECT_TRUE(with.fleet.logged("received from a peer"));
}

TEST_P(cut_forwarded_response, of_a_peer_is_no_success)
{
    auto with = forwarding_world{GetParam()};
    ASSERT_TRUE(with.fleet.start());
    with.make_peer_cut();
    for (auto const* const route : {"safe", "once", "stream", "resumable"})
    {
        with.expect_no_success(route, false);
    }
}

INSTANTIATE_TEST_SUITE_P(
    framings,
    cut_forwarded_response,
    ::testing::Values(framing::length, framing::chunks, framing::none));

} // namespace
} // namespace sapphirereel::relay::test
