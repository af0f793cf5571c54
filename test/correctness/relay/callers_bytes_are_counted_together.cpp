// Many large or unfinished requests at once exhaust a daemon's memory unless
// their bytes are counted together. Ordinary requests must still be taken then.
#include "sapphirereel/relay/session_registry.hpp"
#include "support/relay/raw_caller.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>
#include <list>

namespace sapphirereel::relay::test {
namespace {

constexpr auto limit = std::size_t{1} << 20U;
constexpr auto large = std::size_t{512} << 10U;

TEST(intake_account, never_exceeds_its_limit)
{
    auto account = intake_account{limit};
    for (auto at = 0; at < 1'000; ++at)
    {
        account.resize(0, at % 2 == 0 ? large : small_message_bytes);
        EXPECT_LE(account.bytes(), limit);
    }
}

TEST(intake_account, keeps_a_share_for_small_messages)
{
    auto account = intake_account{limit};
    while (account.resize(0, large))
    {}
    EXPECT_TRUE(account.resize(0, small_message_bytes));
}

TEST(intake_account, lets_a_message_shrink_while_it_is_full)
{
    auto account = intake_account{limit};
    ASSERT_TRUE(account.resize(0, large));
    account.set_limit(0);
    EXPECT_TRUE(account.resize(large, large - 1));
    EXPECT_TRUE(account.resize(large - 1, 0));
    EXPECT_EQ(account.bytes(), 0U);
}

/// A session whose requests get their body's length as the response, and the
/// account that it shares with others.
struct counted_sessions
{
    counted_sessions()
        : port(free_port(loop))
        , listening(std::move(*listener::open(
              loop, address(), [this](asio::ip::tcp::socket socket) {
                  auto const session = caller_session::start(
                      std::move(socket), [] { return caller_limits{}; },
                      [](std::shared_ptr<caller_session> const& from,
                         http::request const& request) {
                          from->respond(
                              200, {}, std::to_string(request.body.size()));
                      },
                      account);
                  registry.add(session);
                  session->set_room_maker([this](std::size_t wanted) {
                      return makes_room && registry.end_largest(wanted);
                  });
              })))
    {}

    /// Lets shorter requests take the room of longer ones that are arriving.
    auto make_room_for_shorter() -> void
    {
        makes_room = true;
    }

    [[nodiscard]] auto address() const -> asio::ip::tcp::endpoint
    {
        return {asio::ip::make_address(process_loopback_ip()), port};
    }

    auto open() -> raw_caller&
    {
        return callers.emplace_back(loop, address());
    }

    /// Runs the loop until a caller has its response, or its connection ended.
    auto response_to(raw_caller& caller) -> std::string
    {
        for (auto at = 0; at < 1'000 && !is_answered(caller); ++at)
        {
            run();
            caller.read_some(4'096);
        }
        return caller.received;
    }

    auto run() -> void
    {
        loop.run_for(std::chrono::milliseconds{2});
        loop.restart();
    }

    static auto is_answered(raw_caller const& caller) -> bool
    {
        return caller.is_ended ||
               caller.received.find("\r\n\r\n") != std::string::npos;
    }

    /// Sends all of a body but its last ten bytes, while the loop runs.
    auto send_unfinished(raw_caller& caller, std::size_t length) -> void
    {
        caller.write(fmt::format(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n",
            length));
        auto const part = std::string(16'384, 'x');
        for (auto sent = std::size_t{0}; sent + part.size() < length;
             sent += part.size())
        {
            caller.write(part);
            run();
        }
        caller.write(std::string(part.size() - 10, 'x'));
        run();
    }

    asio::io_context loop;
    std::shared_ptr<intake_account> account =
        std::make_shared<intake_account>(limit);
    session_registry registry;
    bool makes_room = false;
    std::uint16_t port;
    std::unique_ptr<listener> listening;
    std::list<raw_caller> callers;
};

TEST(unfinished_bodies, take_no_more_than_the_account_allows)
{
    auto with = counted_sessions{};
    for (auto at = 0; at < 8; ++at)
    {
        with.send_unfinished(with.open(), std::size_t{256} << 10U);
        EXPECT_LE(with.account->bytes(), limit);
    }
    auto refused = 0;
    for (auto& each : with.callers)
    {
        each.read_some(4'096);
        refused += each.received.starts_with("HTTP/1.1 503") ? 1 : 0;
        EXPECT_EQ(
            each.received.empty(),
            each.received.find("Retry-After: 1\r\n") == std::string::npos);
    }
    // Three of them would take more than large messages may.
    EXPECT_EQ(refused, 6);
}

TEST(unfinished_bodies, leave_room_for_ordinary_requests)
{
    auto with = counted_sessions{};
    for (auto at = 0; at < 8; ++at)
    {
        with.send_unfinished(with.open(), std::size_t{256} << 10U);
    }
    auto& ordinary = with.open();
    ordinary.write(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345");
    auto const answer = with.response_to(ordinary);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
}

// A caller that sends a body of middle length keeps its place beside longer
// ones that never end.
TEST(unfinished_bodies, make_room_for_shorter_ones)
{
    auto with = counted_sessions{};
    with.make_room_for_shorter();
    for (auto at = 0; at < 3; ++at)
    {
        with.send_unfinished(with.open(), std::size_t{256} << 10U);
    }
    auto& shorter = with.open();
    with.send_unfinished(shorter, std::size_t{128} << 10U);
    for (auto at = 0; at < 3; ++at)
    {
        with.send_unfinished(with.open(), std::size_t{256} << 10U);
    }
    shorter.write(std::string(10, 'x'));
    auto const answer = with.response_to(shorter);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
    EXPECT_LE(with.account->bytes(), limit);
}

TEST(unfinished_bodies, give_their_bytes_back_when_their_callers_leave)
{
    auto with = counted_sessions{};
    with.send_unfinished(with.open(), std::size_t{256} << 10U);
    EXPECT_GT(with.account->bytes(), 0U);
    with.callers.clear();
    for (auto at = 0; at < 1'000 && with.account->bytes() > 0; ++at)
    {
        with.run();
    }
    EXPECT_EQ(with.account->bytes(), 0U);
}

// A refused request's bytes are dropped at once, not when its connection ends.
TEST(refused_bodies, give_their_bytes_back_at_once)
{
    auto with = counted_sessions{};
    auto& caller = with.open();
    caller.write("POST / HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
    caller.write("zz\r\n");
    auto const answer = with.response_to(caller);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 400")) << answer;
    EXPECT_EQ(with.account->bytes(), 0U);
}

} // namespace
} // namespace sapphirereel::relay::test
