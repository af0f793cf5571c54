// A replica writes the refusal of an earlier request once more on a kept
// connection. The request that is answered then runs; it must neither be sent
// to another replica nor be refused as not run.
#include "support/relay/stale_response_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// A relay before two replicas that refuse the first request on a connection
/// and write a stale response before each later one.
struct stale_replicas
{
    explicit stale_replicas(stale_response_replica::stale_response stale)
        : one(world.loop, stale)
        , two(world.loop, std::move(stale))
    {
        world.configure(1);
        for (auto const* service : {"plain", "engine"})
        {
            world.add_at(fmt::format("{}-1", service), service, one.port());
            world.add_at(fmt::format("{}-2", service), service, two.port());
        }
    }

    /// Has both replicas refuse a request, so that a connection to each is
    /// kept, and sends another one.
    auto request_on_kept_connections(std::string const& target)
        -> buffered_response
    {
        EXPECT_TRUE(world.start());
        auto const refused = world.send_request_as("r1", "POST", target);
        EXPECT_TRUE(refused && refused->head.status == 503);
        return world.send_request_as("r2", "POST", target);
    }

    [[nodiscard]] auto runs_of(std::string const& id) -> int
    {
        return one.runs[id] + two.runs[id];
    }

    relay_fixture world;
    stale_response_replica one;
    stale_response_replica two;
};

auto is_promise_not_to_run(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

auto refuse_earlier(std::string const& earlier) -> std::string
{
    return refusal_of(earlier);
}

auto refuse_unnamed(std::string const&) -> std::string
{
    return refusal_of({});
}

auto misdirect_unnamed(std::string const&) -> std::string
{
    return "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
}

auto expect_one_run(stale_replicas& with, std::string const& target) -> void
{
    auto const answer = with.request_on_kept_connections(target);
    EXPECT_EQ(with.runs_of("r2"), 1);
    ASSERT_TRUE(answer);
    EXPECT_FALSE(is_promise_not_to_run(answer->head.status))
        << answer->head.status;
}

TEST(stale_refusal, does_not_make_a_stream_run_again)
{
    auto with = stale_replicas{refuse_earlier};
    expect_one_run(with, "/stream/a");
}

TEST(stale_refusal, does_not_make_a_resumable_stream_be_refused)
{
    auto with = stale_replicas{refuse_earlier};
    auto const answer = with.request_on_kept_connections("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_FALSE(is_promise_not_to_run(answer->head.status));
}

TEST(stale_refusal, does_not_make_a_request_run_again)
{
    auto with = stale_replicas{refuse_earlier};
    expect_one_run(with, "/once/a");
}

TEST(stale_refusal, without_an_id_does_not_make_a_stream_run_again)
{
    auto with = stale_replicas{refuse_unnamed};
    expect_one_run(with, "/stream/a");
}

TEST(stale_refusal, without_an_id_does_not_make_a_request_run_again)
{
    auto with = stale_replicas{refuse_unnamed};
    expect_one_run(with, "/once/a");
}

TEST(stale_refusal, of_a_misdirected_request_does_not_make_a_request_run_again)
{
    auto with = stale_replicas{misdirect_unnamed};
    expect_one_run(with, "/once/a");
}

// A connection that has carried one response to another request may carry
// more, though it is new.
TEST(stale_refusal, without_an_id_is_not_believed_after_one_with_an_id)
{
    auto world = relay_fixture{};
    auto runs = 0;
    auto const serve = [&runs](connection& to, std::string const&) {
        ++runs;
        to.send(refusal_of("r0") + refusal_of({}));
    };
    auto one = raw_replica{world.loop, serve};
    auto two = raw_replica{world.loop, serve};
    world.configure(1);
    world.add_at("one", "engine", one.port);
    world.add_at("two", "engine", two.port);
    ASSERT_TRUE(world.start());
    auto const answer = world.send_request("POST", "/stream/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_EQ(runs, 1);
}

} // namespace
} // namespace sapphirereel::relay::test
