#include "support/relay/raw_caller.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>
#include <thread>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto request_to(std::string const& target) -> std::string
{
    return http::write_request(
        "GET", target, {{"Host", "h"}, {"X-Sapphirereel-Request-Id", "r1"}},
        {});
}

/// Runs the loop of a relay for a time, or until its process would exit.
auto run_for(relay_fixture& world, bool const& exits, duration length) -> void
{
    auto const end = std::chrono::steady_clock::now() + length;
    world.run_until(
        [&] { return exits || std::chrono::steady_clock::now() >= end; });
}

/// A relay before one replica whose answers a test's handler sends.
struct stopping_relay
{
    explicit stopping_relay(fake_replica::handler serve, duration stop_limit)
        : world(stop_limit)
        , one(world.loop, std::move(serve))
    {
        world.configure(1);
        world.add("one", "plain", one);
    }

    /// A relay before a replica that never answers.
    explicit stopping_relay(duration stop_limit)
        : stopping_relay(
              [this](
                  std::shared_ptr<caller_session> const& from,
                  http::request const&) { held.push_back(from); },
              stop_limit)
    {}

    auto stop() -> void
    {
        world.node().stop([this] { exits = true; });
    }

    relay_fixture world;
    fake_replica one;
    /// Requests that the replica has not answered.
    std::vector<std::shared_ptr<caller_session>> held;
    /// Whether the process would have exited.
    bool exits = false;
};

constexpr auto large_body_bytes = std::size_t{8'000'000};

// A stop must not cut answers that are buffered for callers who read slowly.
TEST(planned_stop, exits_after_slow_callers_have_their_answers)
{
    auto const serve = [](std::shared_ptr<caller_session> const& from,
                          http::request const& request) {
        from->respond(
            200, signed_fields(request), std::string(large_body_bytes, 'x'));
    };
    auto with = stopping_relay{serve, seconds{8}};
    ASSERT_TRUE(with.world.start());
    auto caller = raw_caller{with.world.loop, with.world.caller_address()};
    caller.write(request_to("/once/a"));
    ASSERT_TRUE(with.world.run_until([&] {
        return with.world.node().state().metrics.value(
                   relay_counter::answers) == 1;
    }));
    with.stop();
    auto const reads_slowly_until =
        std::chrono::steady_clock::now() + milliseconds{4'300};
    while (!with.exits && !caller.is_ended)
    {
        auto const is_slow =
            std::chrono::steady_clock::now() < reads_slowly_until;
        caller.read_some(is_slow ? 4'096 : 65'536);
        run_for(with.world, with.exits, milliseconds{is_slow ? 20 : 1});
    }
    // What the kernel holds is still delivered after the exit.
    for (auto tries = 0; tries < 200 && !caller.is_ended; ++tries)
    {
        while (caller.read_some(65'536))
        {}
        std::this_thread::sleep_for(milliseconds{1});
    }
    EXPECT_GE(caller.received.size(), large_body_bytes);
    EXPECT_TRUE(with.world.logged(R"("broken_off":0)"));
}

// A stop must not accept a request that it cuts off before the deadline.
TEST(planned_stop, refuses_requests_that_may_outlast_it)
{
    auto with = stopping_relay{seconds{5}};
    ASSERT_TRUE(with.world.start());
    with.stop();
    run_for(with.world, with.exits, milliseconds{3'250});
    // The route allows 1.5 s, and 1.35 s are left.
    auto caller = raw_caller{with.world.loop, with.world.caller_address()};
    caller.write(request_to("/once/a"));
    run_for(with.world, with.exits, milliseconds{300});
    caller.read_some(65'536);
    EXPECT_TRUE(with.held.empty());
    EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 503")) << caller.received;
    EXPECT_NE(caller.received.find("Retry-After: 0.05"), std::string::npos);
}

// A stop must end with an answer for each request, also where the replica has
// sent none.
TEST(planned_stop, answers_requests_in_progress_before_it_cuts_them_off)
{
    auto with = stopping_relay{milliseconds{700}};
    ASSERT_TRUE(with.world.start());
    auto caller = raw_caller{with.world.loop, with.world.caller_address()};
    caller.write(request_to("/once/a"));
    ASSERT_TRUE(with.world.run_until([&] { return !with.held.empty(); }));
    with.stop();
    ASSERT_TRUE(with.world.run_until([&] { return with.exits; }));
    std::this_thread::sleep_for(milliseconds{20});
    caller.read_some(65'536);
    EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 502")) << caller.received;
    EXPECT_FALSE(with.world.logged(R"("by":"exit")"));
}

/// A session whose requests are counted and answered.
struct lone_session
{
    lone_session()
    {
        listener_ = std::move(*listener::open(
            loop, address(), [this](asio::ip::tcp::socket socket) {
                session = caller_session::start(
                    std::move(socket), [] { return caller_limits{}; },
                    [this](
                        std::shared_ptr<caller_session> const& from,
                        http::request const&) {
                        ++requests;
                        from->respond(200, {}, "done");
                    });
            }));
    }

    [[nodiscard]] auto address() const -> asio::ip::tcp::endpoint
    {
        return {asio::ip::make_address(process_loopback_ip()), port};
    }

    auto run() -> void
    {
        loop.run_for(milliseconds{50});
        loop.restart();
    }

    asio::io_context loop;
    std::uint16_t port = free_port(loop);
    std::shared_ptr<caller_session> session;
    int requests = 0;

private:
    std::unique_ptr<listener> listener_;
};

// A stop must not close a connection as idle on which a request has arrived and
// was not read yet, as on a busy daemon.
TEST(caller_session, serves_a_request_that_arrived_before_it_stops)
{
    auto with = lone_session{};
    auto caller = raw_caller{with.loop, with.address()};
    with.run();
    ASSERT_TRUE(with.session);
    caller.write(request_to("/a"));
    with.session->stop();
    with.run();
    caller.read_some(65'536);
    EXPECT_EQ(with.requests, 1);
    EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 200")) << caller.received;
    EXPECT_NE(caller.received.find("Connection: close"), std::string::npos);
}

TEST(caller_session, stops_at_once_if_it_is_idle)
{
    auto with = lone_session{};
    auto caller = raw_caller{with.loop, with.address()};
    with.run();
    ASSERT_TRUE(with.session);
    with.session->stop();
    with.run();
    caller.read_some(1);
    EXPECT_TRUE(caller.is_ended);
    EXPECT_EQ(with.requests, 0);
}

// The log must say who closed a connection before its answer was complete, and
// in which state.
TEST(caller_session, reports_a_connection_that_ends_before_its_answer)
{
    auto reported = std::vector<incomplete_session>{};
    auto with = lone_session{};
    auto caller = raw_caller{with.loop, with.address()};
    with.run();
    ASSERT_TRUE(with.session);
    with.session->on_incomplete([&reported](incomplete_session const& which) {
        reported.push_back(which);
    });
    caller.write("GET / HTTP/1.1\r\n");
    with.run();
    with.session->abort();
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(
        reported.front(),
        (incomplete_session{
            session_end::daemon, session_stage::receiving, std::size_t{0}}));
}

} // namespace
} // namespace sapphirereel::relay::test
