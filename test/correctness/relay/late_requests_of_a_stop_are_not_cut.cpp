// In a planned stop, a request that is passed on late may be cut off at the
// end, and one that must not be repeated is lost with that. Whether it is
// accepted is decided as it arrives; it must hold as well for what waited
// since, arrived slowly, came through a peer or was rejected by a replica.
#include "support/relay/raw_caller.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

/// With this limit requests of the route /once/, which may take 1.5 s, are
/// accepted until 2 s after the stop request; they are cut off at 3 s.
constexpr auto stop_limit = duration{milliseconds{3'400}};

/// A relay in a planned stop before replicas that hold their requests.
struct stopping_relay
{
    explicit stopping_relay(std::string const& service)
    {
        world.configure(1);
        world.add("one", service, one);
    }

    auto start() -> bool
    {
        return world.start();
    }

    auto stop() -> void
    {
        stopped_at = std::chrono::steady_clock::now();
        world.node().stop([this] { exits = true; });
    }

    /// Runs the loop until a time after the stop request.
    auto run_to(duration after_stop) -> void
    {
        world.run_until([&] {
            return exits ||
                   std::chrono::steady_clock::now() >= stopped_at + after_stop;
        });
    }

    auto connect() -> raw_caller
    {
        return raw_caller{world.loop, world.caller_address()};
    }

    /// Answers the oldest request that a replica holds as one that rejects it.
    auto reject_oldest() -> void
    {
        auto fields = signed_fields(one.requests.front());
        fields.pop_back();
        fields.push_back({"X-Sapphirereel-Not-Executed", "1"});
        held.front()->respond(503, fields, {});
    }

    auto finish_oldest() -> void
    {
        held.front()->begin_stream(
            200, "OK", signed_fields(one.requests.front()));
        held.front()->stream("id: 1\ndata: e1\n\n");
        held.front()->finish_stream();
    }

    relay_fixture world{stop_limit};
    std::vector<std::shared_ptr<caller_session>> held;
    fake_replica one = make_replica();
    fake_replica two = make_replica();
    bool exits = false;
    std::chrono::steady_clock::time_point stopped_at;

private:
    auto make_replica() -> fake_replica
    {
        return fake_replica{
            world.loop, [this](
                            std::shared_ptr<caller_session> const& from,
                            http::request const& request) {
                if (!answer_order_without_run(*from, request))
                {
                    held.push_back(from);
                }
            }};
    }
};

auto request_to(
    std::string const& target,
    std::string const& id,
    http::field_list more = {},
    std::string_view body = {}) -> std::string
{
    more.push_back({"Host", "h"});
    more.push_back({"X-Sapphirereel-Request-Id", id});
    return http::write_request("POST", target, more, body);
}

auto expect_refused(raw_caller& caller) -> void
{
    caller.read_some(65'536);
    EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 503")) << caller.received;
    EXPECT_NE(caller.received.find("Retry-After: 0.05"), std::string::npos);
}

/// The tokens of a stream that fills the memory of a replica.
auto large_stream() -> http::field_list
{
    return {{"X-Sapphirereel-Token-Count", "8000,900"}};
}

// A stream that waited for room waited on, to be sent whenever room was found.
TEST(late_request, that_waited_for_room_is_refused)
{
    auto with = stopping_relay{"engine"};
    ASSERT_TRUE(with.start());
    auto first = with.connect();
    first.write(request_to("/stream/a", "r1", large_stream()));
    ASSERT_TRUE(with.world.run_until([&] { return with.held.size() == 1; }));
    with.stop();
    with.run_to(milliseconds{1'700});
    auto waiting = with.connect();
    waiting.write(request_to("/stream/b", "r2", large_stream()));
    with.run_to(milliseconds{1'900});
    waiting.read_some(65'536);
    ASSERT_EQ(waiting.received, "");
    with.run_to(milliseconds{2'300});
    expect_refused(waiting);
    with.finish_oldest();
    with.run_to(milliseconds{2'700});
    EXPECT_EQ(with.one.requests.size(), 1U);
}

// A request that a replica rejected late was sent to another one and cut.
TEST(late_request, that_a_replica_rejected_is_not_sent_again)
{
    auto with = stopping_relay{"plain"};
    ASSERT_TRUE(with.start());
    with.stop();
    with.run_to(milliseconds{1'800});
    auto caller = with.connect();
    caller.write(request_to("/once/a", "r1"));
    ASSERT_TRUE(with.world.run_until([&] { return with.held.size() == 1; }));
    with.world.add("two", "plain", with.two);
    with.run_to(milliseconds{2'600});
    with.reject_oldest();
    with.run_to(milliseconds{2'800});
    expect_refused(caller);
    EXPECT_TRUE(with.two.requests.empty());
}

TEST(late_request, whose_body_arrived_late_is_refused)
{
    auto with = stopping_relay{"plain"};
    ASSERT_TRUE(with.start());
    with.stop();
    with.run_to(milliseconds{1'800});
    auto caller = with.connect();
    auto const whole = request_to("/once/a", "r1", {}, "0123456789");
    caller.write(whole.substr(0, whole.size() - 5));
    with.run_to(milliseconds{2'600});
    caller.write(whole.substr(whole.size() - 5));
    with.run_to(milliseconds{2'800});
    expect_refused(caller);
    EXPECT_TRUE(with.one.requests.empty());
}

// The peer must learn that nothing ran, so that it may try another daemon.
TEST(late_request, that_a_peer_forwarded_is_refused)
{
    auto with = stopping_relay{"plain"};
    ASSERT_TRUE(with.start());
    auto peer = raw_caller{
        with.world.loop,
        {asio::ip::make_address(process_loopback_ip()),
         with.world.peer_port()}};
    with.stop();
    with.run_to(milliseconds{2'300});
    peer.write(request_to(
        "/once/a", "r1", {{std::string{forwarded_by_name}, "127.0.0.9"}}));
    with.run_to(milliseconds{2'600});
    expect_refused(peer);
    EXPECT_NE(peer.received.find(refused_by_peer_name), std::string::npos);
    EXPECT_TRUE(with.one.requests.empty());
}

// A second signal must neither begin the stop anew nor end the process.
TEST(late_request, is_refused_also_after_a_second_stop_request)
{
    auto with = stopping_relay{"plain"};
    ASSERT_TRUE(with.start());
    with.stop();
    with.run_to(milliseconds{2'100});
    with.world.node().stop([] { FAIL() << "the second request was obeyed"; });
    auto caller = with.connect();
    caller.write(request_to("/once/a", "r1"));
    with.run_to(milliseconds{2'300});
    expect_refused(caller);
    EXPECT_FALSE(with.exits);
    EXPECT_TRUE(with.world.run_until([&] { return with.exits; }));
}

} // namespace
} // namespace sapphirereel::relay::test
