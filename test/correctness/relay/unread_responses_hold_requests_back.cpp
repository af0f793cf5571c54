// A caller that sends requests in a pipeline and reads no response makes the
// daemon buffer responses without bound. Its further requests must wait until
// it reads, and its connection must end if it never does.
#include "support/relay/raw_caller.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto response_bytes = std::size_t{200'000};
constexpr auto pipelined = 40;

/// A session that answers each request with a long response at once.
struct generous_session
{
    explicit generous_session(caller_limits limits = {})
        : port(free_port(loop))
        , listening(std::move(*listener::open(
              loop,
              address(),
              [this, limits](asio::ip::tcp::socket socket) {
                  session = caller_session::start(
                      std::move(socket), [limits] { return limits; },
                      [this](
                          std::shared_ptr<caller_session> const& from,
                          http::request const&) {
                          ++served;
                          from->respond(
                              200, {}, std::string(response_bytes, 'x'));
                      });
              })))
        , caller(loop, address())
    {
        auto requests = std::string{};
        for (auto at = 0; at < pipelined; ++at)
        {
            requests += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        caller.write(requests);
    }

    [[nodiscard]] auto address() const -> asio::ip::tcp::endpoint
    {
        return {asio::ip::make_address(process_loopback_ip()), port};
    }

    auto run() -> void
    {
        loop.run_for(std::chrono::milliseconds{5});
        loop.restart();
    }

    asio::io_context loop;
    std::uint16_t port;
    std::shared_ptr<caller_session> session;
    int served = 0;
    std::unique_ptr<listener> listening;
    raw_caller caller;
};

TEST(unread_responses, hold_further_requests_back)
{
    auto with = generous_session{};
    for (auto at = 0; at < 40; ++at)
    {
        with.run();
    }
    ASSERT_NE(with.session, nullptr);
    // Some are in the buffers of the sockets.
    EXPECT_LT(with.served, pipelined);
    EXPECT_LT(with.session->unsent_bytes(), 2 * response_bytes);
}

TEST(unread_responses, are_followed_by_all_others_once_they_are_read)
{
    auto with = generous_session{};
    for (auto at = 0; at < 20; ++at)
    {
        with.run();
    }
    for (auto at = 0; at < 4'000 && with.served < pipelined; ++at)
    {
        with.caller.read_some(65'536);
        with.loop.poll();
        with.loop.restart();
    }
    EXPECT_EQ(with.served, pipelined);
}

TEST(unread_responses, end_the_connection_of_a_caller_that_never_reads)
{
    auto limits = caller_limits{};
    limits.head_timeout = std::chrono::milliseconds{100};
    limits.idle_timeout = std::chrono::milliseconds{100};
    auto with = generous_session{limits};
    for (auto at = 0; at < 200; ++at)
    {
        with.run();
    }
    ASSERT_NE(with.session, nullptr);
    EXPECT_TRUE(with.session->is_closed());
}

} // namespace
} // namespace sapphirereel::relay::test
