// A time limit for heads that also bounds bodies cuts callers that send a long
// body steadily over a slow link. A body that stops arriving must still be
// refused, since it holds memory.
#include "support/relay/raw_caller.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto part_bytes = std::size_t{8'192};

/// A relay that takes heads within 300 ms, and a caller.
struct timed_relay
{
    timed_relay()
        : replica(world.loop, serve_normally)
    {
        world.configure(1, R"(,"limits":{"header-timeout-ms":300})");
        world.add("p", "plain", replica);
        EXPECT_TRUE(world.start());
        caller.emplace(world.loop, world.caller_address());
    }

    /// Sends a head that states so many parts of a body.
    auto send_head(std::size_t parts) -> void
    {
        caller->write(fmt::format(
            "POST /safe/a HTTP/1.1\r\nHost: h\r\n"
            "X-Sapphirereel-Request-Id: r1\r\nContent-Length: {}\r\n\r\n",
            parts * part_bytes));
    }

    auto send_parts(std::size_t parts, duration pause) -> void
    {
        for (auto at = std::size_t{0}; at < parts; ++at)
        {
            caller->write(std::string(part_bytes, 'x'));
            world.loop.run_for(pause);
            world.loop.restart();
        }
    }

    auto response() -> std::string
    {
        world.run_until([this] {
            caller->read_some(4'096);
            return caller->is_ended || !caller->received.empty();
        });
        return caller->received;
    }

    relay_fixture world;
    fake_replica replica;
    std::optional<raw_caller> caller;
};

TEST(body_that_arrives_steadily, is_served_though_it_takes_longer_than_a_head)
{
    auto with = timed_relay{};
    with.send_head(12);
    with.send_parts(12, std::chrono::milliseconds{100});
    auto const answer = with.response();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

TEST(body_that_stops, is_refused)
{
    auto with = timed_relay{};
    with.send_head(12);
    with.send_parts(3, std::chrono::milliseconds{100});
    auto const answer = with.response();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 408")) << answer;
    EXPECT_TRUE(with.replica.requests.empty());
}

TEST(head_that_does_not_end, is_refused)
{
    auto with = timed_relay{};
    with.caller->write("POST /safe/a HTTP/1.1\r\nHost: h\r\n");
    auto const answer = with.response();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 408")) << answer;
}

} // namespace
} // namespace sapphirereel::relay::test
