// A replica, the store or a peer may state a length that its answer does not
// have. The process once ended at such a head, and every other request with it.
#include "support/relay/raw_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// A length that no memory holds.
constexpr auto wrong_length = "98765432101234567";

auto signed_head(std::string_view length) -> std::string
{
    return fmt::format(
        "HTTP/1.1 200 OK\r\nX-Sapphirereel-Request-Id: r1\r\n"
        "X-Sapphirereel-Response-Signature: s\r\nContent-Length: {}\r\n\r\n",
        length);
}

/// Answers with a wrong length and keeps its connection open.
auto state_wrong_length(connection& to, std::string const& /*request*/) -> void
{
    to.send(signed_head(wrong_length) + "some bytes");
}

TEST(wrong_length, fails_an_unsafe_request_at_once)
{
    auto world = relay_fixture{};
    auto spoiling = raw_replica{world.loop, state_wrong_length};
    world.configure(1);
    world.add_at("spoiling", "plain", spoiling.port);
    ASSERT_TRUE(world.start());
    auto const began = telemetry::monotonic_now();
    auto const answer = world.send_request("POST", "/once/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_LT(
        telemetry::monotonic_now() - began, std::chrono::milliseconds{1'000});
    EXPECT_TRUE(world.logged("the answer states a body of"));
}

TEST(wrong_length, lets_a_safe_request_go_to_another_replica)
{
    auto world = relay_fixture{};
    auto spoiled = 0;
    auto const spoil = [&](connection& to, std::string const& request) {
        ++spoiled;
        state_wrong_length(to, request);
    };
    auto spoiling = raw_replica{world.loop, spoil};
    auto sound = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add_at("spoiling", "plain", spoiling.port);
    world.add("sound", "plain", sound);
    ASSERT_TRUE(world.start());
    for (auto at = 0; at < 20 && spoiled == 0; ++at)
    {
        auto const answer = world.send_request("GET", "/safe/a");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 200);
    }
    EXPECT_GT(spoiled, 0);
}

TEST(wrong_length, does_not_disturb_requests_of_others)
{
    auto world = relay_fixture{};
    auto waiting = std::shared_ptr<caller_session>{};
    auto asked = http::request{};
    auto slow = fake_replica{
        world.loop, [&](std::shared_ptr<caller_session> const& from,
                        http::request const& request) {
            waiting = from;
            asked = request;
        }};
    world.configure(1);
    world.add("slow", "engine", slow);
    auto spoiling = raw_replica{world.loop, state_wrong_length};
    world.add_at("spoiling", "plain", spoiling.port);
    ASSERT_TRUE(world.start());
    auto pool = upstream_pool{world.loop};
    auto other = std::optional<buffered_response>{};
    buffered_call::start(
        world.loop, pool, world.caller_address(),
        http::write_request(
            "GET", "/stream/a",
            {{"Host", "h"}, {"X-Sapphirereel-Request-Id", "other"}}, {}),
        std::chrono::seconds{6},
        [&](buffered_response answer) { other = std::move(answer); });
    ASSERT_TRUE(world.run_until([&] { return waiting != nullptr; }));
    std::ignore = world.send_request("POST", "/once/a");
    waiting->respond(200, signed_fields(asked), "id: 1\ndata: a\n\n");
    ASSERT_TRUE(world.run_until([&] { return other.has_value(); }));
    ASSERT_TRUE(*other);
    EXPECT_EQ((*other)->head.status, 200);
}

TEST(wrong_length, of_a_stream_never_looks_whole)
{
    auto world = relay_fixture{};
    auto engine = raw_replica{
        world.loop, [](connection& to, std::string const& /*request*/) {
            to.send(signed_head(wrong_length) + "id: 1\ndata: a\n\n");
            to.close_gracefully();
        }};
    world.configure(1);
    world.add_at("engine", "engine", engine.port);
    ASSERT_TRUE(world.start());
    EXPECT_FALSE(world.send_request("GET", "/stream/a"));
}

TEST(wrong_length, of_an_answer_to_an_earlier_request_fails_the_call)
{
    auto world = relay_fixture{};
    auto asked = 0;
    auto replica = raw_replica{
        world.loop, [&](connection& to, std::string const& /*request*/) {
            if (++asked == 1)
            {
                to.send(signed_head("2") + "ok");
                return;
            }
            // The id is that of the first request.
            to.send(signed_head(wrong_length) + "some bytes");
        }};
    world.configure(1);
    world.add_at("replica", "plain", replica.port);
    ASSERT_TRUE(world.start());
    auto const first = world.send_request_as("r1", "POST", "/once/a");
    ASSERT_TRUE(first);
    EXPECT_EQ(first->head.status, 200);
    auto const began = telemetry::monotonic_now();
    auto const second = world.send_request_as("r2", "POST", "/once/a");
    ASSERT_TRUE(second);
    EXPECT_EQ(second->head.status, 502);
    EXPECT_LT(
        telemetry::monotonic_now() - began, std::chrono::milliseconds{1'000});
}

/// The outcome of a call as the store, peers and orders are asked.
auto outcome_of_call(std::string const& answer) -> buffered_response
{
    auto loop = asio::io_context{};
    auto other_side =
        raw_replica{loop, [&](connection& to, std::string const&) {
                        to.send(answer);
                    }};
    auto pool = upstream_pool{loop};
    auto got = std::optional<buffered_response>{};
    buffered_call::start(
        loop, pool,
        {asio::ip::make_address(process_loopback_ip()), other_side.port},
        http::write_request("GET", "/", {{"Host", "h"}}, {}),
        std::chrono::milliseconds{500},
        [&got](buffered_response outcome) { got = std::move(outcome); });
    auto const end = std::chrono::steady_clock::now() + std::chrono::seconds{3};
    while (!got && std::chrono::steady_clock::now() < end)
    {
        loop.run_for(std::chrono::milliseconds{5});
        loop.restart();
    }
    return got ? *got
               : tl::unexpected(
                     call_failure{call_stage::waiting, "the test ended"});
}

TEST(wrong_length, fails_a_call_to_the_store_or_a_peer)
{
    EXPECT_FALSE(outcome_of_call(signed_head(wrong_length) + "some bytes"));
    EXPECT_FALSE(
        outcome_of_call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "fffffffffffffff\r\nsome bytes"));
    EXPECT_TRUE(outcome_of_call(signed_head("10") + "some bytes"));
}

TEST(report_of_a_peer, with_an_address_that_is_none_is_dropped)
{
    // A connection to such an address could not even be tried: the attempt
    // threw.
    auto report = peer_report{};
    report.ip = "no address";
    EXPECT_FALSE(read_peer_report(write_peer_report(report)));
    report.ip = "10.0.0.1";
    report.known_addresses = {
        {"no address", zone_name{"z"}}, {"10.0.0.2", zone_name{"z"}}};
    auto const read = read_peer_report(write_peer_report(report));
    ASSERT_TRUE(read);
    EXPECT_EQ(
        read->known_addresses,
        (std::vector<known_address>{{"10.0.0.2", zone_name{"z"}}}));
}

} // namespace
} // namespace sapphirereel::relay::test
