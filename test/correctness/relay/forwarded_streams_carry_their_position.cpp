// A daemon without a path to the replicas has a peer serve a stream. The peer
// may be lost as a replica may: the stream continues at another peer.
#include "support/relay/relay_fleet.hpp"
#include "support/relay/scripted_engine.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// Three daemons and two replicas; the first daemon reaches no replica. A peer
/// aborts a stream when both replicas are lost to it.
struct cut_off_daemon
{
    explicit cut_off_daemon(std::vector<scripted_run> script)
        : engine(fleet.loop, 2, std::move(script))
    {
        auto diverted = std::map<std::uint16_t, std::uint16_t>{};
        for (auto at = std::size_t{0}; at < engine.replicas.size(); ++at)
        {
            auto const port = engine.replicas[at].port;
            diverted[port] = nowhere.port;
            fleet.add(fmt::format("e{}", at), "engine", port);
        }
        fleet.divert(0, std::move(diverted));
    }

    auto request(std::string const& target, http::field_list fields = {})
        -> buffered_response
    {
        fields.push_back({"X-Sapphirereel-Token-Count", "10,20"});
        EXPECT_TRUE(fleet.start());
        fleet.send_request(0, target, std::move(fields));
        EXPECT_TRUE(
            fleet.run_until([this] { return !fleet.responses.empty(); }));
        return fleet.responses.front();
    }

    [[nodiscard]] auto forwards() const -> std::uint64_t
    {
        return fleet.nodes[0]->state().metrics.value(relay_counter::forwards);
    }

    relay_fleet fleet{3};
    unreachable_port nowhere{fleet.loop, unreachable_port::kind::refused};
    scripted_engine engine;
};

TEST(forwarded_stream, carries_the_position_of_its_caller)
{
    auto with = cut_off_daemon{{complete(events(1, 5))}};
    auto const answer = with.request("/resumable/a", {{"Last-Event-Id", "3"}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(4, 5));
    EXPECT_EQ(with.engine.field_of(0, "Last-Event-Id"), "3");
    EXPECT_EQ(with.forwards(), 1U);
}

TEST(forwarded_stream, continues_at_another_peer_after_the_last_event)
{
    auto with = cut_off_daemon{
        {cut(events(1, 2)), cut(events(3, 3) + "id: 4\nda"),
         complete(events(4, 5))}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(1, 5));
    EXPECT_EQ(http::find(answer->head.fields, "Run"), "0");
    EXPECT_EQ(with.engine.field_of(2, "Last-Event-Id"), "3");
    EXPECT_EQ(with.forwards(), 2U);
}

// An error of the second peer must not end the response as if it were whole.
TEST(forwarded_stream, does_not_look_complete_if_no_peer_continues_it)
{
    auto with = cut_off_daemon{
        {cut(events(1, 2)), cut(events(3, 3)), failure(404, "unknown")}};
    EXPECT_FALSE(with.request("/resumable/a"));
    EXPECT_EQ(with.forwards(), 2U);
}

TEST(forwarded_stream, that_runs_once_is_not_forwarded_again)
{
    auto with = cut_off_daemon{{cut(events(1, 2)), complete(events(1, 5))}};
    EXPECT_FALSE(with.request("/stream/a"));
    EXPECT_EQ(with.engine.requests.size(), 1U);
    EXPECT_EQ(with.forwards(), 1U);
}

} // namespace
} // namespace sapphirereel::relay::test
