// Guards against a replica that answers an upload at once with a body that ends
// with its connection, and is lost while the upload is still written: the part
// that had come was taken for the whole answer.
#include "support/relay/early_replica.hpp"

#include <asio/write.hpp>
#include <gtest/gtest.h>
#include <ostream>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

struct early_case
{
    std::string route;
    framing framed;
    early_end end;
    auto operator<=>(early_case const&) const = default;
};

auto operator<<(std::ostream& to, early_case const& each) -> std::ostream&
{
    return to << each.route << " framing " << static_cast<int>(each.framed)
              << " ending " << static_cast<int>(each.end.how) << " after "
              << each.end.after.count() << " ms";
}

/// Uploads to each case; which side of the connection sees the loss first
/// differs between them.
constexpr auto uploads_per_case = 6;

/// Entries of a service at the address of one process, so that a failure counts
/// against one of them only.
constexpr auto entries = 20;

/// A relay before replicas that answer early.
struct early_world
{
    explicit early_world(early_case const& each)
        : replica(
              world.loop,
              [framed = each.framed](std::string const& request) {
                  return whole_response(request_id_of(request), framed);
              },
              each.end)
    {
        world.configure(1);
        for (auto at = 0; at < entries; ++at)
        {
            world.add_at(fmt::format("p{}", at), "plain", replica.port());
            world.add_at(fmt::format("e{}", at), "engine", replica.port());
        }
    }

    auto upload(std::string const& route) -> buffered_response
    {
        return send_upload(
            world, pool, world.caller_address(), route, requests++);
    }

    relay_fixture world;
    early_replica replica;
    upstream_pool pool{world.loop};
    int requests = 0;
};

class early_answer : public ::testing::TestWithParam<early_case>
{};

class early_whole_answer : public ::testing::TestWithParam<early_case>
{};

TEST_P(early_answer, that_ends_with_a_lost_connection_is_not_whole)
{
    auto with = early_world{GetParam()};
    ASSERT_TRUE(with.world.start());
    for (auto count = 0; count < uploads_per_case; ++count)
    {
        auto const answer = with.upload(GetParam().route);
        EXPECT_TRUE(!answer || answer->head.status == 502)
            << answer->head.status << " " << answer->body;
    }
    EXPECT_GE(with.replica.uploads, uploads_per_case);
}

// The standard lets a server answer early: the framing proves that the answer
// is whole, whatever becomes of the upload.
TEST_P(early_whole_answer, is_served)
{
    auto with = early_world{GetParam()};
    ASSERT_TRUE(with.world.start());
    for (auto count = 0; count < uploads_per_case; ++count)
    {
        auto const answer = with.upload(GetParam().route);
        ASSERT_TRUE(answer) << answer.error().detail;
        EXPECT_EQ(answer->head.status, 200) << answer->body;
        EXPECT_TRUE(answer->body.ends_with("data: e2\n\n")) << answer->body;
    }
}

auto cases_of(std::vector<framing> const& framings) -> std::vector<early_case>
{
    auto cases = std::vector<early_case>{};
    for (auto const* const route : {"safe", "once", "stream", "resumable"})
    {
        for (auto const framed : framings)
        {
            cases.push_back({route, framed, {ending::reset, milliseconds{0}}});
            cases.push_back({route, framed, {ending::reset, milliseconds{60}}});
            cases.push_back(
                {route, framed, {ending::in_order, milliseconds{60}}});
        }
    }
    return cases;
}

INSTANTIATE_TEST_SUITE_P(
    routes, early_answer, ::testing::ValuesIn(cases_of({framing::none})));

INSTANTIATE_TEST_SUITE_P(
    routes,
    early_whole_answer,
    ::testing::ValuesIn(cases_of({framing::length, framing::chunks})));

/// A connection of the test's and what it has told its owner.
struct watched_connection
{
    explicit watched_connection(asio::ip::tcp::socket socket)
        : held(connection::adopt(std::move(socket)))
    {
        watch(false);
    }

    /// `takes_input` tells whether input is taken after a failed write.
    auto watch(bool takes_input) -> void
    {
        held->set_handlers(
            {[this](std::string_view bytes) { received += bytes; },
             [this](connection_end how) { end = how; },
             {},
             takes_input});
    }

    std::shared_ptr<connection> held;
    std::string received;
    std::optional<connection_end> end;
};

auto run_for(asio::io_context& loop, milliseconds time) -> void
{
    loop.restart();
    loop.run_for(time);
}

auto connect(asio::io_context& loop, std::uint16_t port)
    -> asio::ip::tcp::socket
{
    auto socket = asio::ip::tcp::socket{loop};
    socket.connect({asio::ip::make_address(process_loopback_ip()), port});
    return socket;
}

/// A connection to a peer that has sent an answer and reset the connection.
auto connect_to_reset_peer(asio::io_context& loop, std::string_view answer)
    -> asio::ip::tcp::socket
{
    auto acceptor = asio::ip::tcp::acceptor{
        loop, {asio::ip::make_address(process_loopback_ip()), 0}};
    auto socket = connect(loop, acceptor.local_endpoint().port());
    auto peer = acceptor.accept();
    asio::write(peer, asio::buffer(answer.data(), answer.size()));
    peer.set_option(asio::socket_base::linger{true, 0});
    peer.close();
    return socket;
}

// The rule at the connection: an error is reported once, to a read or a write,
// and whoever asks next sees an end without an error.
TEST(connection_end, of_a_reset_while_bytes_are_unsent_is_not_orderly)
{
    auto loop = asio::io_context{};
    auto replica = early_replica{
        loop,
        [](std::string const&) { return "part"; },
        {ending::reset, milliseconds{30}}};
    for (auto count = 0; count < uploads_per_case; ++count)
    {
        auto from = watched_connection{connect(loop, replica.port())};
        from.held->read();
        from.held->send("a\r\n\r\n" + long_upload());
        run_for(loop, milliseconds{200});
        EXPECT_EQ(from.end, connection_end::reset);
    }
}

// A response may be whole in the socket's buffer when a write fails.
TEST(connection_end, comes_after_the_input_that_had_arrived)
{
    for (auto const takes_input : {true, false})
    {
        auto loop = asio::io_context{};
        auto from = watched_connection{connect_to_reset_peer(loop, "answer")};
        from.watch(takes_input);
        from.held->read();
        from.held->send("request");
        run_for(loop, milliseconds{50});
        EXPECT_EQ(from.end, connection_end::reset);
        EXPECT_EQ(from.received, takes_input ? "answer" : "");
    }
}

// A slow caller pauses the reading of its response.
TEST(connection_end, waits_for_a_reader_that_has_paused)
{
    auto loop = asio::io_context{};
    auto from = watched_connection{connect_to_reset_peer(loop, "answer")};
    from.watch(true);
    from.held->send("request");
    run_for(loop, milliseconds{20});
    EXPECT_FALSE(from.end);
    from.held->read();
    run_for(loop, milliseconds{20});
    EXPECT_EQ(from.received, "answer");
    EXPECT_EQ(from.end, connection_end::reset);
}

// An answer whose request had arrived whole may end with its connection.
TEST(connection_end, of_a_peer_that_received_everything_is_orderly)
{
    auto loop = asio::io_context{};
    auto replica = early_replica{
        loop,
        [](std::string const&) { return "whole"; },
        {ending::in_order, milliseconds{0}}};
    auto from = watched_connection{connect(loop, replica.port())};
    from.held->read();
    from.held->send("a\r\n\r\n");
    run_for(loop, milliseconds{200});
    EXPECT_EQ(from.end, connection_end::closed);
}

} // namespace
} // namespace sapphirereel::relay::test
