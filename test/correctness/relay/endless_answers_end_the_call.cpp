// A replica, the log or a peer may send bytes without end that are no answer.
// The relay closes the connection and answers its caller; its memory stays
// bounded and other requests are served.
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// Bytes after which the relay must have closed the connection.
constexpr auto max_accepted_bytes = std::size_t{16} << 20U;

/// A server that sends `beginning`, then `piece` until its caller closes.
class endless_server
{
public:
    endless_server(
        asio::io_context& loop, std::string beginning, std::string piece)
        : port(free_port(loop))
        , loop_(&loop)
        , beginning_(std::move(beginning))
        , piece_(std::move(piece))
    {
        listener_ = std::move(*listener::open(
            loop, {asio::ip::make_address(process_loopback_ip()), port},
            [this](asio::ip::tcp::socket socket) {
                serve(connection::adopt(std::move(socket)));
            }));
    }

    std::uint16_t port;
    std::size_t sent_bytes = 0;
    bool was_closed = false;

private:
    auto serve(std::shared_ptr<connection> const& to) -> void
    {
        auto const weak = std::weak_ptr<connection>{to};
        to->set_handlers(
            {[this, weak](std::string_view) {
                 if (auto const open = weak.lock(); open && sent_bytes == 0)
                 {
                     send(*open, beginning_);
                 }
             },
             [this, to](connection_end) { was_closed = true; },
             [this, weak] {
                 auto const open = weak.lock();
                 if (open && sent_bytes < 2 * max_accepted_bytes)
                 {
                     send(*open, piece_);
                 }
             }});
        to->read();
    }

    auto send(connection& to, std::string const& bytes) -> void
    {
        sent_bytes += bytes.size();
        // Posted, so that sending does not nest.
        asio::post(*loop_, [held = to.shared_from_this(), bytes] {
            held->send(bytes);
        });
    }

    asio::io_context* loop_;
    std::string beginning_;
    std::string piece_;
    std::unique_ptr<listener> listener_;
};

auto repeated(std::string_view text) -> std::string
{
    auto piece = std::string{};
    while (piece.size() < 20'000)
    {
        piece += text;
    }
    return piece;
}

auto add_server(
    relay_fixture& world, std::string const& service, std::uint16_t port)
    -> void
{
    world.log.write(
        keyed_stream::replicas, "endless-" + service,
        fmt::format(
            R"({{"service":"{}","address":"{}:{}","zone":"z",)"
            R"("slots":4,"state":"ready"}})",
            service, process_loopback_ip(), port));
}

/// The status that a caller gets from an endless replica; 0 if its connection
/// is closed. Expects the replica's connection to be closed within the bound.
auto status_from_endless(
    std::string const& path, std::string beginning, std::string_view text)
    -> int
{
    auto world = relay_fixture{};
    auto server =
        endless_server{world.loop, std::move(beginning), repeated(text)};
    auto other = fake_replica{world.loop, serve_normally};
    world.configure(1);
    auto const is_stream = path.starts_with("/stream");
    add_server(world, is_stream ? "engine" : "plain", server.port);
    world.add("other", is_stream ? "plain" : "engine", other);
    EXPECT_TRUE(world.start());
    auto const answer = world.send_request("GET", path);
    EXPECT_TRUE(world.run_until([&] { return server.was_closed; }));
    EXPECT_LT(server.sent_bytes, max_accepted_bytes);
    if (!is_stream)
    {
        return answer ? answer->head.status : 0;
    }
    auto const beside = world.send_request("GET", "/once/a");
    EXPECT_TRUE(beside && beside->head.status == 200);
    return answer ? answer->head.status : 0;
}

auto const signed_head =
    std::string{"HTTP/1.1 200 OK\r\nX-Sapphirereel-Request-Id: r1\r\n"
                "X-Sapphirereel-Response-Signature: s\r\n"};
auto const chunked = std::string{"Transfer-Encoding: chunked\r\n\r\n"};

TEST(endless_answer, in_its_head_fails_the_request)
{
    EXPECT_EQ(
        status_from_endless("/once/a", "HTTP/1.1 200 OK\r\n", "A: b\r\n"), 502);
    EXPECT_EQ(
        status_from_endless("/stream/a", "HTTP/1.1 200 OK\r\n", "A: b\r\n"),
        502);
}

TEST(endless_answer, of_interim_responses_fails_the_request)
{
    EXPECT_EQ(
        status_from_endless(
            "/once/a", "HTTP/1.1 103 Early\r\n\r\n",
            "HTTP/1.1 103 Early\r\n\r\n"),
        502);
}

TEST(endless_answer, in_its_body_fails_the_request)
{
    EXPECT_EQ(status_from_endless("/once/a", signed_head + "\r\n", "x"), 502);
}

TEST(endless_answer, in_a_chunk_extension_fails_the_request)
{
    EXPECT_EQ(
        status_from_endless("/once/a", signed_head + chunked + "1;a=", "b"),
        502);
}

TEST(endless_answer, in_an_event_ends_the_stream)
{
    EXPECT_EQ(
        status_from_endless("/stream/a", signed_head + "\r\ndata: ", "x"), 502);
    // A stream that has begun is cut off, so that it does not look complete.
    EXPECT_EQ(
        status_from_endless(
            "/stream/a", signed_head + "\r\nid: 1\ndata: a\n\ndata: ", "x"),
        0);
}

TEST(endless_answer, of_repeated_events_ends_the_stream)
{
    EXPECT_EQ(
        status_from_endless(
            "/stream/a", signed_head + "\r\n", "id: 1\ndata: a\n\n"),
        0);
}

TEST(endless_answer, that_is_no_stream_fails_the_request)
{
    EXPECT_EQ(
        status_from_endless("/stream/a", "HTTP/1.1 500 No\r\n\r\n", "x"), 502);
}

TEST(endless_answer, of_a_call_between_daemons_fails_the_call)
{
    auto loop = asio::io_context{};
    auto server =
        endless_server{loop, "HTTP/1.1 200 OK\r\n\r\n", repeated("x")};
    auto pool = upstream_pool{loop};
    auto got = std::optional<buffered_response>{};
    buffered_call::start(
        loop, pool,
        {asio::ip::make_address(process_loopback_ip()), server.port},
        http::write_request("GET", "/", {{"Host", "h"}}, {}),
        std::chrono::seconds{8},
        [&got](buffered_response answer) { got = std::move(answer); });
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds{7};
    while (!server.was_closed && std::chrono::steady_clock::now() < end)
    {
        loop.run_for(std::chrono::milliseconds{5});
        loop.restart();
    }
    ASSERT_TRUE(got.has_value());
    EXPECT_FALSE(got->has_value());
    EXPECT_TRUE(server.was_closed);
    EXPECT_LT(server.sent_bytes, max_accepted_bytes);
}

} // namespace
} // namespace sapphirereel::relay::test
