// An exception of one connection's handler once passed through the event loop
// to main() and ended the process. It ends that connection; the loop goes on.
#include "sapphirereel/core/containment.hpp"
#include "support/relay/raw_replica.hpp"

#include <gtest/gtest.h>
#include <stdexcept>

namespace sapphirereel::relay::test {
namespace {

/// Runs a loop with the containment of the program for a short time.
auto run_for(asio::io_context& loop, std::chrono::milliseconds time)
    -> std::vector<std::string>
{
    auto errors = std::vector<std::string>{};
    auto end = asio::steady_timer{loop, time};
    end.async_wait([&loop](std::error_code) { loop.stop(); });
    run_loop_contained(
        loop, [&](std::string_view why) { errors.emplace_back(why); });
    return errors;
}

auto connect(asio::io_context& loop, std::uint16_t port)
    -> std::shared_ptr<connection>
{
    auto socket = asio::ip::tcp::socket{loop};
    socket.connect({asio::ip::make_address(process_loopback_ip()), port});
    return connection::adopt(std::move(socket));
}

/// Sends each request's bytes back; throws at those that begin with an x.
auto echo_or_throw(connection& to, std::string const& request) -> void
{
    if (request.starts_with('x'))
    {
        throw std::runtime_error{"what was read can't be handled"};
    }
    to.send(request);
}

TEST(failing_handler, ends_its_connection_alone)
{
    auto loop = asio::io_context{};
    auto server = raw_replica{loop, echo_or_throw};
    auto const failing = connect(loop, server.port);
    auto const sound = connect(loop, server.port);
    auto end = std::optional<connection_end>{};
    auto received = std::string{};
    failing->set_handlers({{}, [&](connection_end how) { end = how; }, {}});
    sound->set_handlers(
        {[&](std::string_view bytes) { received += bytes; }, {}, {}});
    failing->read();
    sound->read();
    failing->send("x\r\n\r\n");
    sound->send("a\r\n\r\n");
    auto const errors = run_for(loop, std::chrono::milliseconds{200});
    EXPECT_EQ(
        errors, (std::vector<std::string>{"what was read can't be handled"}));
    EXPECT_TRUE(end);
    EXPECT_EQ(received, "a\r\n\r\n");
}

TEST(failing_handler, tells_its_owner_that_the_connection_broke)
{
    auto loop = asio::io_context{};
    auto server = raw_replica{loop, [](connection& to, std::string const&) {
                                  to.send("answer");
                              }};
    auto const from = connect(loop, server.port);
    auto end = std::optional<connection_end>{};
    from->set_handlers(
        {[](std::string_view) { throw std::bad_alloc{}; },
         [&](connection_end how) { end = how; },
         {}});
    from->read();
    from->send("a\r\n\r\n");
    EXPECT_EQ(run_for(loop, std::chrono::milliseconds{200}).size(), 1U);
    EXPECT_EQ(end, connection_end::broken);
    EXPECT_TRUE(from->is_closed());
}

TEST(failing_handler, of_a_new_connection_does_not_end_the_listener)
{
    auto loop = asio::io_context{};
    auto accepted = 0;
    auto const port = free_port(loop);
    auto const at = asio::ip::tcp::endpoint{
        asio::ip::make_address(process_loopback_ip()), port};
    auto const listening =
        listener::open(loop, at, [&](asio::ip::tcp::socket const&) {
            if (++accepted == 1)
            {
                throw std::bad_alloc{};
            }
        });
    ASSERT_TRUE(listening);
    auto const first = connect(loop, port);
    auto const second = connect(loop, port);
    EXPECT_EQ(run_for(loop, std::chrono::milliseconds{200}).size(), 1U);
    EXPECT_EQ(accepted, 2);
}

TEST(failing_handler, of_a_datagram_does_not_end_the_reports_of_others)
{
    auto loop = asio::io_context{};
    auto const ip = process_loopback_ip();
    auto const port = free_port(loop);
    auto received = std::vector<std::string>{};
    auto const made =
        peer_socket::open(loop, ip, port, [&](std::string_view bytes) {
            if (bytes == "bad")
            {
                throw std::runtime_error{"a report that can't be applied"};
            }
            received.emplace_back(bytes);
        });
    ASSERT_TRUE(made);
    for (auto const* const each : {"one", "bad", "two", "bad", "three"})
    {
        (*made)->send(ip, each);
    }
    EXPECT_EQ(run_for(loop, std::chrono::milliseconds{200}).size(), 2U);
    EXPECT_EQ(received, (std::vector<std::string>{"one", "two", "three"}));
}

TEST(failing_handler, of_the_log_is_followed_by_another_read)
{
    auto loop = asio::io_context{};
    auto log = fake_log{loop};
    auto changes = 0;
    auto follower = log_follower<fake_log>{
        loop,
        log,
        keyed_stream::configuration,
        {duration{0}, std::chrono::milliseconds{10}},
        1,
        {},
        {[&] {
             if (++changes == 1)
             {
                 throw std::runtime_error{"a record that can't be applied"};
             }
         },
         [](bool) {},
         [](log_position, log_position) {
         }}};
    log.write(keyed_stream::configuration, "config", "one");
    follower.start(duration{0});
    EXPECT_EQ(run_for(loop, std::chrono::milliseconds{50}).size(), 1U);
    loop.restart();
    log.write(keyed_stream::configuration, "config", "two");
    EXPECT_TRUE(run_for(loop, std::chrono::milliseconds{600}).empty());
    EXPECT_EQ(changes, 2);
}

TEST(failing_handler, is_logged_and_counted)
{
    auto world = relay_fixture{};
    world.node().record_handler_error("out of memory");
    EXPECT_TRUE(world.logged("a handler failed, its connection was ended"));
    EXPECT_EQ(
        world.node().state().metrics.value(relay_counter::handler_errors), 1U);
}

} // namespace
} // namespace sapphirereel::relay::test
