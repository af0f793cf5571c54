// Guards against replicas that send endless bodies to many requests at once:
// each body was bounded, their sum was not, and a daemon whose memory is
// exhausted ends with every request of its other callers (LOST).
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto megabyte = std::size_t{1'000'000};

/// A server that sends a head to each connection and then `x` until the caller
/// closes, or a number of them.
class body_server
{
public:
    body_server(asio::io_context& loop, std::string head, std::size_t bytes)
        : port(free_port(loop))
        , loop_(&loop)
        , head_(std::move(head))
        , bytes_(bytes)
    {
        listener_ = std::move(*listener::open(
            loop, {asio::ip::make_address(process_loopback_ip()), port},
            [this](asio::ip::tcp::socket socket) {
                serve(connection::adopt(std::move(socket)));
            }));
    }

    std::uint16_t port;

private:
    static constexpr auto part_bytes = std::size_t{20'000};

    auto serve(std::shared_ptr<connection> const& to) -> void
    {
        auto const left = std::make_shared<std::size_t>(bytes_);
        auto const weak = std::weak_ptr<connection>{to};
        to->set_handlers(
            {[this, weak](std::string_view) { send(weak, head_); },
             [to](connection_end) {},
             [this, weak, left] {
                 auto const part = std::min(*left, part_bytes);
                 *left -= part;
                 send(weak, std::string(part, 'x'));
             }});
        to->read();
    }

    /// Posted, so that sending does not nest.
    auto send(std::weak_ptr<connection> const& to, std::string bytes) -> void
    {
        asio::post(*loop_, [to, bytes = std::move(bytes)] {
            if (auto const open = to.lock(); open && open->is_open())
            {
                open->send(bytes);
            }
        });
    }

    asio::io_context* loop_;
    std::string head_;
    std::size_t bytes_;
    std::unique_ptr<listener> listener_;
};

/// Calls to a server through one pool.
struct pool_fixture
{
    auto call(body_server const& server) -> void
    {
        buffered_call::start(
            loop, pool,
            {asio::ip::make_address(process_loopback_ip()), server.port},
            http::write_request("GET", "/", {{"Host", "h"}}, {}),
            std::chrono::seconds{8}, [this](buffered_response answer) {
                answers.push_back(std::move(answer));
            });
    }

    /// Runs until all of some calls have ended, and records the most bytes that
    /// were buffered.
    auto run_until_answered(std::size_t calls) -> void
    {
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds{10};
        while (answers.size() < calls && std::chrono::steady_clock::now() < end)
        {
            loop.run_for(std::chrono::milliseconds{1});
            loop.restart();
            peak = std::max(peak, pool.buffered_bytes());
        }
    }

    [[nodiscard]] auto succeeded() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(answers.begin(), answers.end(), [](auto const& each) {
                return each.has_value();
            }));
    }

    asio::io_context loop;
    upstream_pool pool{loop};
    std::vector<buffered_response> answers;
    std::size_t peak = 0;
};

TEST(many_endless_answers, buffer_no_more_than_the_limit_together)
{
    auto world = pool_fixture{};
    world.pool.set_buffer_limit(4 * megabyte);
    auto const endless =
        body_server{world.loop, "HTTP/1.1 200 OK\r\n\r\n", 1'000 * megabyte};
    for (auto at = 0; at < 40; ++at)
    {
        world.call(endless);
    }
    world.run_until_answered(40);
    EXPECT_EQ(world.answers.size(), 40U);
    EXPECT_EQ(world.succeeded(), 0U);
    // A response may go beyond the limit up to its equal share.
    EXPECT_LT(world.peak, 8 * megabyte);
    EXPECT_EQ(world.pool.buffered_bytes(), 0U);
}

TEST(many_endless_answers, leave_room_for_short_ones)
{
    auto world = pool_fixture{};
    world.pool.set_buffer_limit(4 * megabyte);
    auto const endless =
        body_server{world.loop, "HTTP/1.1 200 OK\r\n\r\n", 1'000 * megabyte};
    auto const sound = body_server{
        world.loop, "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n", 50'000};
    for (auto at = 0; at < 20; ++at)
    {
        world.call(endless);
        world.call(sound);
    }
    world.run_until_answered(40);
    EXPECT_EQ(world.succeeded(), 20U);
}

TEST(buffer_account, refuses_long_responses_first)
{
    auto account = buffer_account{100};
    EXPECT_TRUE(account.charge(90, 0));
    EXPECT_TRUE(account.charge(10, 0));
    // Half of the limit is the share of one of two.
    EXPECT_FALSE(account.charge(1, 90));
    EXPECT_TRUE(account.charge(1, 10));
    account.release(90);
    EXPECT_TRUE(account.charge(80, 11));
    account.release(91);
    EXPECT_EQ(account.bytes(), 0U);
}

} // namespace
} // namespace sapphirereel::relay::test
