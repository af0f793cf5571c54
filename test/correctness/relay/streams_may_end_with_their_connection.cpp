#include "support/relay/raw_caller.hpp"
#include "support/relay/raw_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

constexpr auto unframed_head =
    std::string_view{"HTTP/1.1 200 OK\r\nX-Sapphirereel-Request-Id: r1\r\n"
                     "X-Sapphirereel-Response-Signature: sig\r\n"
                     "Content-Type: text/event-stream\r\n\r\n"};

constexpr auto two_events =
    std::string_view{"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"};

enum class ending
{
    in_order,
    reset
};

/// A relay before an engine whose streams have neither a length nor chunks.
struct unframed_stream
{
    unframed_stream(std::string_view events, ending how)
        : replica(
              world.loop,
              [events = std::string{events},
               how](connection& to, std::string const&) {
                  to.send(std::string{unframed_head} + events);
                  how == ending::in_order ? to.close_gracefully() : to.reset();
              })
    {
        world.configure(1);
        world.add_at("one", "engine", replica.port);
    }

    /// Sends a request over a connection of its own and reads until the answer
    /// has ended or nothing more comes.
    auto request(std::string_view version) -> std::unique_ptr<raw_caller>
    {
        auto caller =
            std::make_unique<raw_caller>(world.loop, world.caller_address());
        ask(*caller, version);
        return caller;
    }

    auto ask(raw_caller& caller, std::string_view version) -> void
    {
        caller.write(fmt::format(
            "GET /stream/a HTTP/{}\r\nHost: h\r\n"
            "X-Sapphirereel-Request-Id: r1\r\n"
            "X-Sapphirereel-Token-Count: 10,20\r\n\r\n",
            version));
        auto const end = std::chrono::steady_clock::now() + milliseconds{300};
        world.run_until([&] {
            caller.read_some(65'536);
            return caller.is_ended || std::chrono::steady_clock::now() >= end;
        });
    }

    relay_fixture world;
    raw_replica replica;
};

auto ends_with(std::string const& text, std::string_view end) -> bool
{
    return std::string_view{text}.ends_with(end);
}

// A stream without length or chunks that ends in order is complete, and the
// caller's connection is kept.
TEST(unframed_stream, that_ends_between_events_is_complete)
{
    auto with = unframed_stream{two_events, ending::in_order};
    ASSERT_TRUE(with.world.start());
    auto const caller = with.request("1.1");
    EXPECT_NE(caller->received.find("data: e2"), std::string::npos);
    EXPECT_TRUE(ends_with(caller->received, "0\r\n\r\n"));
    EXPECT_FALSE(caller->is_ended);
    caller->received.clear();
    with.ask(*caller, "1.1");
    EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(ends_with(caller->received, "0\r\n\r\n"));
}

// A stream that ends inside an event was broken off: it must not look complete.
TEST(unframed_stream, that_ends_inside_an_event_is_broken_off)
{
    auto with = unframed_stream{
        std::string{two_events} + "id: 3\nda", ending::in_order};
    ASSERT_TRUE(with.world.start());
    auto const caller = with.request("1.1");
    EXPECT_NE(caller->received.find("data: e2"), std::string::npos);
    EXPECT_EQ(caller->received.find("id: 3"), std::string::npos);
    EXPECT_FALSE(ends_with(caller->received, "0\r\n\r\n"));
    EXPECT_TRUE(caller->is_ended);
}

TEST(unframed_stream, that_is_reset_is_broken_off)
{
    auto with = unframed_stream{two_events, ending::reset};
    ASSERT_TRUE(with.world.start());
    auto const caller = with.request("1.1");
    EXPECT_FALSE(ends_with(caller->received, "0\r\n\r\n"));
}

// A replica that crashes as it begins to write may have sent the head.
TEST(unframed_stream, that_has_no_event_is_a_failure)
{
    auto with = unframed_stream{"", ending::in_order};
    ASSERT_TRUE(with.world.start());
    auto const caller = with.request("1.1");
    EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 502"))
        << caller->received;
}

// Callers of HTTP/1.0 do not know chunks: the end of their connection ends the
// stream.
TEST(unframed_stream, goes_to_callers_of_the_old_version_without_chunks)
{
    auto with = unframed_stream{two_events, ending::in_order};
    ASSERT_TRUE(with.world.start());
    auto const caller = with.request("1.0");
    EXPECT_EQ(caller->received.find("Transfer-Encoding"), std::string::npos);
    EXPECT_TRUE(
        ends_with(caller->received, "\r\n\r\n" + std::string{two_events}))
        << caller->received;
    EXPECT_TRUE(caller->is_ended);
    EXPECT_FALSE(caller->was_reset);
}

// For them, only a reset tells a stream that was broken off from a whole one.
TEST(unframed_stream, resets_callers_of_the_old_version_if_it_is_broken_off)
{
    for (auto const how : {ending::in_order, ending::reset})
    {
        auto with = unframed_stream{std::string{two_events} + "id: 3\nda", how};
        ASSERT_TRUE(with.world.start());
        auto const caller = with.request("1.0");
        EXPECT_TRUE(caller->was_reset);
    }
}

/// What becomes of the order that stops a run.
enum class stop_order
{
    /// The run is stopped and its copy named.
    obeyed,
    /// The run has completed meanwhile.
    late,
    /// The run is stopped a little later, and the response is lost.
    unanswered
};

/// Two engines whose streams are unframed; the one that runs the request ends
/// its stream when it is told to stop the run.
struct migrating_unframed_stream
{
    explicit migrating_unframed_stream(stop_order what)
        : order(what)
        , one(world.loop, serve())
        , two(world.loop, serve())
    {
        world.configure(1);
        world.add_at("one", "engine", one.port);
        world.add_at("two", "engine", two.port);
    }

    auto serve() -> raw_replica::handler
    {
        return [this](connection& to, std::string const& request) {
            if (request.starts_with("POST /-/kv-move"))
            {
                answer_migration(to, request);
                return;
            }
            to.send(std::string{unframed_head});
            if (request.find("Kv-From") != std::string::npos)
            {
                to.send("id: 3\ndata: e3\n\n");
                to.close_gracefully();
                return;
            }
            to.send(std::string{two_events});
            source = request.find("Instance: one") != std::string::npos ? "one"
                                                                        : "two";
            running = to.shared_from_this();
        };
    }

    auto answer_migration(connection& to, std::string const& request) -> void
    {
        auto const stops = request.find("\"last\":true") != std::string::npos;
        if (stops && order == stop_order::unanswered)
        {
            to.reset();
            stop_timer.expires_after(milliseconds{100});
            stop_timer.async_wait(
                [this](std::error_code) { running->close_gracefully(); });
            return;
        }
        if (stops)
        {
            running->close_gracefully();
        }
        auto const is_unknown = stops && order == stop_order::late;
        to.send(http::write_response(
            is_unknown ? 404 : 200, {{"Content-Type", "application/json"}},
            is_unknown ? "" : R"({"handle":"h1","create-rev":2})"));
    }

    auto run() -> std::string
    {
        auto caller = raw_caller{world.loop, world.caller_address()};
        caller.write("GET /stream/a HTTP/1.1\r\nHost: h\r\n"
                     "X-Sapphirereel-Request-Id: r1\r\n"
                     "X-Sapphirereel-Token-Count: 10,20\r\n\r\n");
        world.run_until([this] { return running != nullptr; });
        world.add_at(
            source, "engine", source == "one" ? one.port : two.port,
            "draining");
        world.run_until([&] {
            caller.read_some(65'536);
            return caller.is_ended || ends_with(caller.received, "0\r\n\r\n");
        });
        return caller.received;
    }

    stop_order order;
    relay_fixture world;
    asio::steady_timer stop_timer{world.loop};
    raw_replica one;
    raw_replica two;
    std::string source;
    std::shared_ptr<connection> running;
};

// A run that was stopped to migrate ends its connection in order, but the
// stream is not complete.
TEST(unframed_stream, that_was_stopped_to_migrate_is_resumed)
{
    auto with = migrating_unframed_stream{stop_order::obeyed};
    ASSERT_TRUE(with.world.start());
    auto const received = with.run();
    EXPECT_NE(received.find("data: e3"), std::string::npos) << received;
    EXPECT_TRUE(ends_with(received, "0\r\n\r\n"));
}

TEST(unframed_stream, that_ended_before_it_could_be_stopped_is_complete)
{
    auto with = migrating_unframed_stream{stop_order::late};
    ASSERT_TRUE(with.world.start());
    auto const received = with.run();
    EXPECT_NE(received.find("data: e2"), std::string::npos);
    EXPECT_TRUE(ends_with(received, "0\r\n\r\n")) << received;
}

// Guards against a stream that looks complete because the response to the order
// that stopped its run was lost.
TEST(unframed_stream, that_may_have_been_stopped_does_not_look_complete)
{
    auto with = migrating_unframed_stream{stop_order::unanswered};
    ASSERT_TRUE(with.world.start());
    auto const received = with.run();
    EXPECT_NE(received.find("data: e2"), std::string::npos);
    EXPECT_FALSE(ends_with(received, "0\r\n\r\n")) << received;
}

} // namespace
} // namespace sapphirereel::relay::test
