// Connections that send nothing take descriptors until the process can accept
// none. The one that has waited longest must end for a new one, never one that
// carries a request.
#include "sapphirereel/relay/session_registry.hpp"
#include "support/relay/raw_caller.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>
#include <list>

namespace sapphirereel::relay::test {
namespace {

/// A port that keeps three connections, whose requests are answered when the
/// test says so.
struct limited_port
{
    limited_port()
        : port(free_port(loop))
        , listening(std::move(*listener::open(
              loop, address(), [this](asio::ip::tcp::socket socket) {
                  registry.add(caller_session::start(
                      std::move(socket), [] { return caller_limits{}; },
                      [this](
                          std::shared_ptr<caller_session> from,
                          http::request const&) {
                          waiting.push_back(std::move(from));
                      }));
              })))
    {
        registry.set_limit(3);
    }

    [[nodiscard]] auto address() const -> asio::ip::tcp::endpoint
    {
        return {asio::ip::make_address(process_loopback_ip()), port};
    }

    auto open() -> raw_caller&
    {
        auto& made = callers.emplace_back(loop, address());
        run();
        return made;
    }

    auto run() -> void
    {
        loop.run_for(std::chrono::milliseconds{10});
        loop.restart();
        for (auto& each : callers)
        {
            each.read_some(4'096);
        }
    }

    asio::io_context loop;
    session_registry registry;
    std::uint16_t port;
    std::unique_ptr<listener> listening;
    std::list<raw_caller> callers;
    std::vector<std::shared_ptr<caller_session>> waiting;
};

constexpr auto request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

TEST(connection_limit, ends_the_one_that_has_waited_longest)
{
    auto with = limited_port{};
    auto& first = with.open();
    auto& second = with.open();
    with.open();
    with.open();
    with.run();
    EXPECT_TRUE(first.is_ended);
    EXPECT_FALSE(second.is_ended);
}

TEST(connection_limit, refuses_a_request_that_has_begun)
{
    auto with = limited_port{};
    auto& first = with.open();
    first.write("GET / HTTP/1.1\r\n");
    with.run();
    with.open().write(request);
    with.open().write(request);
    with.run();
    with.open();
    with.run();
    EXPECT_TRUE(first.received.starts_with("HTTP/1.1 408")) << first.received;
}

// A refused connection is open until its refusal has been read; many at once
// must not exceed the limit for that.
TEST(connection_limit, holds_where_requests_have_begun)
{
    auto with = limited_port{};
    for (auto at = 0; at < 9; ++at)
    {
        with.open().write("GET / HTTP/1.1\r\n");
        with.run();
        EXPECT_LE(with.registry.open_sessions().size(), 4U);
    }
}

TEST(connection_limit, ends_no_connection_that_carries_a_request)
{
    auto with = limited_port{};
    for (auto at = 0; at < 5; ++at)
    {
        with.open().write(request);
        with.run();
    }
    for (auto const& each : with.callers)
    {
        EXPECT_FALSE(each.is_ended);
    }
    EXPECT_EQ(with.waiting.size(), 5U);
}

TEST(connection_limit, prefers_to_keep_a_caller_that_was_served)
{
    auto with = limited_port{};
    auto& served = with.open();
    served.write(request);
    with.run();
    ASSERT_EQ(with.waiting.size(), 1U);
    with.waiting[0]->respond(200, {}, {});
    with.run();
    auto& silent = with.open();
    with.open();
    with.open();
    with.run();
    EXPECT_FALSE(served.is_ended);
    EXPECT_TRUE(silent.is_ended);
}

} // namespace
} // namespace sapphirereel::relay::test
