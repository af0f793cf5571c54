// Guards against a configuration that no daemon ever reads because of its size:
// a read that is given up after a fixed time, while its bytes still arrive, is
// begun anew without end (CONFIG).
#include "sapphirereel/deployment/store_client.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

using relay::keyed_page;
using relay::keyed_stream;
using relay::log_read_error;
using std::chrono::milliseconds;

/// A store that answers each request with one body, a part at a time.
class slow_store
{
public:
    slow_store(
        asio::io_context& loop,
        std::string body,
        std::size_t part_bytes,
        duration pause)
        : address{relay::test::process_loopback_ip(), relay::test::free_port(loop)}
        , loop_(&loop)
        , body_(std::move(body))
        , part_bytes_(part_bytes)
        , pause_(pause)
    {
        listener_ = std::move(*relay::listener::open(
            loop, address.endpoint(), [this](asio::ip::tcp::socket socket) {
                serve(relay::connection::adopt(std::move(socket)));
            }));
    }

    relay::listen_address address;
    bool was_closed = false;

private:
    auto serve(std::shared_ptr<relay::connection> const& to) -> void
    {
        to->set_handlers(
            {[this,
              weak = std::weak_ptr<relay::connection>{to}](std::string_view) {
                 if (auto const open = weak.lock())
                 {
                     open->send(fmt::format(
                         "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                         body_.size()));
                     send_from(open, 0);
                 }
             },
             [this, to](relay::connection_end) { was_closed = true; },
             {}});
        to->read();
    }

    auto send_from(std::shared_ptr<relay::connection> const& to, std::size_t at)
        -> void
    {
        if (at >= body_.size())
        {
            return;
        }
        auto const timer = std::make_shared<asio::steady_timer>(*loop_, pause_);
        timer->async_wait([this, timer, to, at](std::error_code) {
            to->send(body_.substr(at, part_bytes_));
            send_from(to, at + part_bytes_);
        });
    }

    asio::io_context* loop_;
    std::string body_;
    std::size_t part_bytes_;
    duration pause_;
    std::unique_ptr<relay::listener> listener_;
};

auto big_endian(std::uint64_t value, int bytes) -> std::string
{
    auto text = std::string{};
    for (auto at = bytes - 1; at >= 0; --at)
    {
        text += static_cast<char>(value >> (8 * at) & 0xffU);
    }
    return text;
}

/// The body of a read that returns one record with a value of a size.
auto read_body(std::size_t value_bytes) -> std::string
{
    auto const record =
        "\x06" + std::string{"config"} + std::string(value_bytes, 'x');
    return big_endian(1, 8) + big_endian(0, 8) + big_endian(record.size(), 4) +
           record;
}

/// The result of a read; none after 12 seconds.
auto read_from(asio::io_context& loop, slow_store const& store)
    -> std::optional<tl::expected<keyed_page, log_read_error>>
{
    auto client = store_client{loop, store.address, [](bool) {
                               }};
    auto got = std::optional<tl::expected<keyed_page, log_read_error>>{};
    client.read(keyed_stream::configuration, 0, duration{0}, [&got](auto page) {
        got = std::move(page);
    });
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds{12};
    while (!got && std::chrono::steady_clock::now() < end)
    {
        loop.run_for(milliseconds{5});
        loop.restart();
    }
    return got;
}

TEST(large_read_of_the_store, goes_on_while_its_bytes_arrive)
{
    auto loop = asio::io_context{};
    // 600 KB at some 200 KB a second.
    auto const store =
        slow_store{loop, read_body(600'000), 10'000, milliseconds{50}};
    auto const page = read_from(loop, store);
    ASSERT_TRUE(page && page->has_value());
    ASSERT_EQ((*page)->records.size(), 1U);
    EXPECT_EQ((*page)->records.front().value->size(), 600'000U);
}

TEST(read_of_the_store, ends_when_hardly_a_byte_arrives)
{
    auto loop = asio::io_context{};
    auto const store =
        slow_store{loop, read_body(600'000), 100, milliseconds{50}};
    auto const page = read_from(loop, store);
    ASSERT_TRUE(page);
    EXPECT_FALSE(page->has_value());
}

} // namespace
} // namespace sapphirereel::deployment
