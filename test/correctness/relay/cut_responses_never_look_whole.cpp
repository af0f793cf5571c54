// Guards against a replica that stops in the middle of its response and ends
// the connection: its callers must get a failure, never a 200 with an empty or
// short body that looks whole.
#include "support/relay/cutting_replica.hpp"

#include <gtest/gtest.h>
#include <ostream>

namespace sapphirereel::relay::test {
namespace {

struct cut_case
{
    std::string route;
    framing how;
    ending end;
    auto operator<=>(cut_case const&) const = default;
};

auto operator<<(std::ostream& to, cut_case const& each) -> std::ostream&
{
    return to << each.route << " framing " << static_cast<int>(each.how)
              << " ending " << static_cast<int>(each.end);
}

/// Entries of a service at the address of one process, so that a failure counts
/// against one of them only.
constexpr auto entries = 60;

/// A relay before replicas that cut their responses.
struct cutting_world
{
    explicit cutting_world(cut_case const& of)
        : route(of.route)
        , replica(world.loop, of.how, of.end)
    {
        world.configure(1);
        for (auto at = 0; at < entries; ++at)
        {
            world.add_at(fmt::format("p{}", at), "plain", replica.port());
            world.add_at(fmt::format("e{}", at), "engine", replica.port());
        }
    }

    auto send(std::string const& target) -> buffered_response
    {
        auto got = std::optional<buffered_response>{};
        buffered_call::start(
            world.loop, pool, world.caller_address(),
            http::write_request(
                "GET", target,
                {{"Host", "h"},
                 {"X-Sapphirereel-Request-Id", fmt::format("r{}", ++requests)},
                 {"X-Sapphirereel-Token-Count", "10,20"}},
                {}),
            std::chrono::seconds{6},
            [&got](buffered_response answer) { got = std::move(answer); });
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds{8};
        while (!got && std::chrono::steady_clock::now() < end)
        {
            world.loop.run_one_for(std::chrono::milliseconds{2});
            world.loop.restart();
        }
        return got ? *got
                   : tl::unexpected(
                         call_failure{call_stage::waiting, "the test ended"});
    }

    auto send_cut(std::size_t position) -> buffered_response
    {
        return send(fmt::format("/{}/cut-{}", route, position));
    }

    /// The response that was cut by the last request.
    [[nodiscard]] auto response_to_next(framing how) const -> std::string
    {
        return whole_response(fmt::format("r{}", requests + 1), how);
    }

    std::string route;
    relay_fixture world;
    cutting_replica replica;
    upstream_pool pool{world.loop};
    int requests = 1'000;
};

class cut_response : public ::testing::TestWithParam<cut_case>
{};

TEST_P(cut_response, is_a_failure_or_is_broken_off)
{
    auto const& each = GetParam();
    auto with = cutting_world{each};
    ASSERT_TRUE(with.world.start());
    auto const is_stream = each.route == "stream" || each.route == "resumable";
    auto const whole = with.response_to_next(each.how);
    auto const head = head_size(whole);
    // A response without a length that ends in order is whole if its head is.
    auto const end = each.how == framing::none && each.end == ending::in_order
                         ? head
                         : whole.size();
    for (auto at = std::size_t{0}; at < end; ++at)
    {
        auto const answer = with.send_cut(at);
        if (answer)
        {
            EXPECT_EQ(answer->head.status, 502)
                << at << " " << answer->body << " of " << whole.substr(0, at);
        }
        else
        {
            EXPECT_TRUE(is_stream && at > head) << at << answer.error().detail;
        }
        EXPECT_TRUE(with.replica.cuts.contains(at)) << at;
        auto const sound = with.send("/" + each.route + "/whole");
        ASSERT_TRUE(sound);
        EXPECT_EQ(sound->head.status, 200) << at << " " << sound->body;
    }
}

// The retry's answer, where the route permits one.
TEST_P(cut_response, is_followed_by_a_whole_one_where_it_may_be)
{
    auto const& each = GetParam();
    auto with = cutting_world{each};
    with.replica.cuts_only_once = true;
    ASSERT_TRUE(with.world.start());
    auto const whole = with.response_to_next(each.how);
    auto const body = std::string{"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"};
    auto const may_retry = each.route == "safe" || each.route == "resumable";
    auto retried = 0;
    for (auto at = std::size_t{0}; at < head_size(whole); at += 7)
    {
        auto const answer = with.send_cut(at);
        ASSERT_TRUE(answer) << at;
        auto const is_whole =
            answer->head.status == 200 && answer->body == body;
        EXPECT_TRUE(answer->head.status == 502 || (may_retry && is_whole))
            << at << " " << answer->head.status << " " << answer->body;
        retried += is_whole ? 1 : 0;
    }
    EXPECT_EQ(retried > 0, may_retry);
}

auto all_cases() -> std::vector<cut_case>
{
    auto cases = std::vector<cut_case>{};
    for (auto const* const route : {"safe", "once", "stream", "resumable"})
    {
        for (auto const how : {framing::length, framing::chunks, framing::none})
        {
            cases.push_back({route, how, ending::in_order});
            cases.push_back({route, how, ending::reset});
        }
    }
    return cases;
}

INSTANTIATE_TEST_SUITE_P(
    routes, cut_response, ::testing::ValuesIn(all_cases()));

} // namespace
} // namespace sapphirereel::relay::test
