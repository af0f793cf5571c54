// A run moves twice: its destination refuses the continuation, the run goes on
// at its source and moves again, to another entry at that destination's
// address. A copy of the refusal that comes with the second continuation names
// the request, which runs; the stream must neither be lost nor go on elsewhere.
#include "support/relay/raw_caller.hpp"
#include "support/relay/repeating_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto event(int number) -> std::string
{
    return fmt::format("id: {}\ndata: e\n\n", number);
}

/// A replica that runs a stream until it is ordered to stop it: three events
/// for the request, one more for each continuation.
class stopping_source
{
public:
    explicit stopping_source(asio::io_context& loop)
        : raw_(loop, [this](connection& to, std::string const& head) {
            serve(to, head);
        })
    {}

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return raw_.port;
    }

    [[nodiscard]] auto is_running() const -> bool
    {
        return running_ != nullptr;
    }

    /// Runs that began, the continuations with them.
    int runs = 0;

private:
    auto serve(connection& to, std::string const& request) -> void
    {
        if (request.starts_with("POST /-/kv-move"))
        {
            answer_order(to, request);
            return;
        }
        ++runs;
        running_ = to.shared_from_this();
        to.send(fmt::format(
            "HTTP/1.1 200 X\r\n{}X-Sapphirereel-Response-Signature: sig\r\n"
            "Connection: close\r\n\r\n",
            id_field(request_id_of(request))));
        auto const first = events_;
        events_ = runs == 1 ? 3 : events_ + 1;
        for (auto at = first; at < events_; ++at)
        {
            to.send(event(at + 1));
        }
    }

    auto answer_order(connection& to, std::string const& request) -> void
    {
        auto const stops = request.find("\"last\":true") != std::string::npos;
        if (stops && running_)
        {
            std::exchange(running_, nullptr)->close_gracefully();
        }
        auto const body =
            fmt::format(R"({{"handle":"h{}","create-rev":{}}})", runs, events_);
        to.send(fmt::format(
            "HTTP/1.1 200 X\r\nContent-Type: application/json\r\n"
            "Content-Length: {}\r\n\r\n{}",
            body.size(), body));
    }

    raw_replica raw_;
    std::shared_ptr<connection> running_;
    int events_ = 0;
};

/// Refuses the first continuation and writes that refusal once more before the
/// next continuation's response, if it comes on the same connection.
class refusing_destination
{
public:
    explicit refusing_destination(asio::io_context& loop)
        : raw_(loop, [this](connection& to, std::string const& head) {
            serve(to, head);
        })
    {}

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return raw_.port;
    }

    int refusals = 0;
    int runs = 0;
    int copies = 0;

private:
    auto serve(connection& to, std::string const& request) -> void
    {
        auto const id = request_id_of(request);
        if (refusals == 0)
        {
            ++refusals;
            refused_on_ = &to;
            to.send(refusal_of(id));
            return;
        }
        ++runs;
        if (refused_on_ == &to)
        {
            ++copies;
            to.send(refusal_of(id));
        }
        to.send(executed_response(id, 200, event(5) + event(6)));
    }

    raw_replica raw_;
    connection* refused_on_ = nullptr;
};

TEST(copied_refusal_of_a_continuation, does_not_take_a_moved_run_back)
{
    auto world = relay_fixture{};
    auto source = stopping_source{world.loop};
    auto destination = refusing_destination{world.loop};
    world.configure(1);
    world.add_at("s", "engine", source.port());
    ASSERT_TRUE(world.start());
    auto caller = raw_caller{world.loop, world.caller_address()};
    caller.write("GET /stream/a HTTP/1.1\r\nHost: h\r\n"
                 "X-Sapphirereel-Request-Id: r1\r\n"
                 "X-Sapphirereel-Token-Count: 10,20\r\n\r\n");
    ASSERT_TRUE(world.run_until([&] { return source.is_running(); }));
    world.add_at("d-1", "engine", destination.port());
    world.add_at("d-2", "engine", destination.port());
    world.add_at("s", "engine", source.port(), "draining");
    world.run_until([&] {
        caller.read_some(65'536);
        return caller.received.find("id: 6\n") != std::string::npos ||
               destination.copies > 0;
    });
    EXPECT_EQ(destination.refusals, 1);
    EXPECT_EQ(destination.runs, 1);
    EXPECT_EQ(destination.copies, 0);
    EXPECT_EQ(source.runs, 2);
    EXPECT_TRUE(world.logged("resumes at its source"));
    EXPECT_NE(caller.received.find("id: 6\n"), std::string::npos)
        << caller.received;
}

} // namespace
} // namespace sapphirereel::relay::test
