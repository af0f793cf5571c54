// Guards against a replica in trouble whose answer has a head that is no head:
// callers got it as an answer, or waited for it until their deadline.
#include "support/relay/early_replica.hpp"
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

/// What can't be served is told at once, well before the routes' deadlines.
constexpr auto most_time_to_tell = milliseconds{1'000};

constexpr auto entries = 10;

/// A response, before its framing is added.
struct answer_case
{
    std::string status;
    /// A line of its head.
    std::string line = "X-Sound: 1";
    auto operator<=>(answer_case const&) const = default;
};

auto operator<<(std::ostream& to, answer_case const& each) -> std::ostream&
{
    return to << each.status << " with " << ::testing::PrintToString(each.line);
}

auto write_answer(
    answer_case const& each, framing framed, std::string const& request)
    -> std::string
{
    auto whole = whole_response(request_id_of(request), framed);
    auto const status = whole.find("200 OK");
    whole.replace(status, std::string_view{"200"}.size(), each.status);
    whole.insert(whole.find("\r\n\r\n"), "\r\n" + each.line);
    return whole;
}

/// Adds a replica under several ids, so that a failure counts against one only.
template <class World>
auto add_entries(World& world, std::uint16_t port) -> void
{
    for (auto at = 0; at < entries; ++at)
    {
        world.add(fmt::format("p{}", at), "plain", port);
        world.add(fmt::format("e{}", at), "engine", port);
    }
}

/// A replica that gives the same answer to every request.
struct answering_replica
{
    answering_replica(
        asio::io_context& loop, answer_case const& each, framing framed)
        : raw(loop,
              [this, each, framed](connection& to, std::string const& request) {
                  if (request.starts_with("POST /-/kv-move "))
                  {
                      to.send(http::write_response(404, {}, {}));
                      return;
                  }
                  ++arrivals;
                  to.send(write_answer(each, framed, request));
                  if (framed == framing::none)
                  {
                      to.close_gracefully();
                  }
              })
    {}

    /// Requests that were answered.
    int arrivals = 0;

    raw_replica raw;
};

/// Two daemons; the first one may reach the replica through the other only.
struct answering_world
{
    answering_world(answer_case const& each, framing framed, bool is_forwarded)
        : replica(fleet.loop, each, framed)
        , closed(fleet.loop, unreachable_port::kind::refused)
    {
        add_entries(fleet, replica.raw.port);
        if (is_forwarded)
        {
            fleet.divert(0, {{replica.raw.port, closed.port}});
        }
    }

    auto send(std::string const& route) -> buffered_response
    {
        auto const before = fleet.responses.size();
        fleet.send_request(
            0, "/" + route + "/whole",
            {{"X-Sapphirereel-Token-Count", "10,20"}});
        fleet.run_until([&] { return fleet.responses.size() > before; });
        return fleet.responses.size() > before
                   ? fleet.responses.back()
                   : tl::unexpected(
                         call_failure{call_stage::waiting, "the test ended"});
    }

    relay_fleet fleet{2};
    answering_replica replica;
    unreachable_port closed;
};

constexpr auto routes =
    std::array<std::string_view, 4>{"safe", "once", "stream", "resumable"};

constexpr auto framings =
    std::array{framing::length, framing::chunks, framing::none};

class broken_answer : public ::testing::TestWithParam<answer_case>
{};

TEST_P(broken_answer, is_a_failure_that_is_told_at_once)
{
    for (auto const framed : framings)
    {
        auto with = answering_world{GetParam(), framed, false};
        ASSERT_TRUE(with.fleet.start());
        for (auto const route : routes)
        {
            auto const begin = std::chrono::steady_clock::now();
            auto const answer = with.send(std::string{route});
            ASSERT_TRUE(answer) << route << " " << answer.error().detail;
            EXPECT_EQ(answer->head.status, 502) << route << answer->body;
            EXPECT_FALSE(http::find(answer->head.fields, "X-Sound"));
            EXPECT_LT(
                std::chrono::steady_clock::now() - begin, most_time_to_tell)
                << route;
        }
    }
}

// The peer may also have closed its path to the replicas.
TEST_P(broken_answer, is_a_failure_through_a_peer)
{
    auto with = answering_world{GetParam(), framing::none, true};
    ASSERT_TRUE(with.fleet.start());
    for (auto const route : routes)
    {
        auto const answer = with.send(std::string{route});
        ASSERT_TRUE(answer) << route << " " << answer.error().detail;
        EXPECT_EQ(answer->head.status / 100, 5) << route << answer->body;
    }
}

// The request may have run: it is not sent again where it may run once only,
// and nothing states that it did not run.
TEST_P(broken_answer, is_followed_by_no_second_run)
{
    auto with = answering_world{GetParam(), framing::length, false};
    ASSERT_TRUE(with.fleet.start());
    auto const answer = with.send("once");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_FALSE(
        http::find(answer->head.fields, "X-Sapphirereel-Not-Executed"));
    EXPECT_EQ(with.replica.arrivals, 1);
    EXPECT_TRUE(with.fleet.logged("attempt failed"));
}

// Nothing of what may follow a broken answer is believed.
TEST_P(broken_answer, ends_its_connection)
{
    auto with = answering_world{GetParam(), framing::length, false};
    ASSERT_TRUE(with.fleet.start());
    with.send("once");
    auto const opened = with.replica.raw.opened_connections();
    with.send("once");
    EXPECT_GT(with.replica.raw.opened_connections(), opened);
}

INSTANTIATE_TEST_SUITE_P(
    statuses,
    broken_answer,
    ::testing::Values(
        answer_case{"000"},
        answer_case{"001"},
        answer_case{"099"},
        answer_case{"101"},
        answer_case{"600"},
        answer_case{"999"}));

INSTANTIATE_TEST_SUITE_P(
    lines,
    broken_answer,
    ::testing::Values(
        answer_case{"200", "X Y: b"},
        answer_case{"200", "X-Y : b"},
        answer_case{"200", "X: a\r\n folded"},
        answer_case{"200", "X: a\r\n\tX-Y: b"},
        answer_case{"200", "X\x01Y: b"},
        answer_case{"200", std::string{"X\0Y: b", 6}},
        answer_case{"200", "no colon"},
        answer_case{"200", "Content-Length : 2"},
        answer_case{"200", "Transfer-Encoding : chunked"}));

// A failed replica's status is an answer all the same.
TEST(sound_answer, of_any_status_is_passed_on)
{
    for (auto const* const status : {"200", "299", "418", "599"})
    {
        for (auto const framed : framings)
        {
            auto with = answering_world{{status}, framed, false};
            ASSERT_TRUE(with.fleet.start());
            auto const answer = with.send("once");
            ASSERT_TRUE(answer) << status << answer.error().detail;
            EXPECT_EQ(std::to_string(answer->head.status), status);
            EXPECT_TRUE(answer->body.ends_with("data: e2\n\n"));
        }
    }
}

} // namespace
} // namespace sapphirereel::relay::test
