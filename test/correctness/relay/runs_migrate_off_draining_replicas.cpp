#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto event(int number) -> std::string
{
    return fmt::format("id: {}\ndata: e{}\n\n", number, number);
}

/// Two replicas of an engine. The one that receives the request produces three
/// events and waits for a migration request to stop; the other resumes the run
/// from its KV cache.
struct migrating_pair
{
    migrating_pair()
        : one(world.loop, serve())
        , two(world.loop, serve())
    {
        world.configure(1);
        world.add("one", "engine", one);
        world.add("two", "engine", two);
    }

    auto serve() -> fake_replica::handler
    {
        return [this](
                   std::shared_ptr<caller_session> const& from,
                   http::request const& request) {
            if (request.target == "/-/kv-move")
            {
                handle_migration(*from, request.body);
                return;
            }
            if (rejects_resumption(request))
            {
                auto fields = signed_fields(request);
                fields.push_back({"X-Sapphirereel-Not-Executed", "1"});
                from->respond(503, fields, {});
                return;
            }
            from->begin_stream(200, "OK", signed_fields(request));
            if (auto const memory = http::find(request.fields, "Kv-From"))
            {
                requested_memory = std::string{*memory};
                from->stream(event(4) + event(5));
                from->finish_stream();
                return;
            }
            from->stream(event(1) + event(2) + event(3));
            running = from;
            source = expected_replica(request);
        };
    }

    static auto expected_replica(http::request const& request) -> std::string
    {
        auto const named =
            http::find(request.fields, "X-Sapphirereel-Expect-Instance");
        return std::string{named.value_or(std::string_view{})};
    }

    /// Whether the replica that a run moves to has no place for it now.
    [[nodiscard]] auto rejects_resumption(http::request const& request) const
        -> bool
    {
        return destination_is_full &&
               http::find(request.fields, "Kv-From").has_value() &&
               expected_replica(request) != source;
    }

    auto handle_migration(caller_session& from, std::string const& body) -> void
    {
        auto const stops = body.find("\"last\":true") != std::string::npos;
        migration_requests.push_back(stops ? "stop" : "copy");
        if (!stops && copies_refused > 0)
        {
            --copies_refused;
            from.respond(404, {}, {});
            return;
        }
        if (stops && running)
        {
            running->close_incomplete();
        }
        from.respond(
            200, {{"Content-Type", "application/json"}},
            R"({"handle":"h1","create-rev":3})");
    }

    /// Drains the replica that runs the request; returns its address.
    auto drain() -> std::string
    {
        auto const is_one = !one.requests.empty();
        world.add(
            is_one ? "one" : "two", "engine", is_one ? one : two, "draining");
        return fmt::format(
            "{}:{}", process_loopback_ip(), is_one ? one.port : two.port);
    }

    relay_fixture world;
    fake_replica one;
    fake_replica two;
    std::shared_ptr<caller_session> running;
    std::vector<std::string> migration_requests;
    std::string requested_memory;
    /// The replica that runs the request.
    std::string source;
    int copies_refused = 0;
    bool destination_is_full = false;
};

auto request_and_drain(migrating_pair& with)
    -> std::pair<std::string, std::string>
{
    auto pool = upstream_pool{with.world.loop};
    auto got = std::optional<buffered_response>{};
    buffered_call::start(
        with.world.loop, pool, with.world.caller_address(),
        http::write_request(
            "GET", "/stream/a",
            {{"Host", "h"},
             {"X-Sapphirereel-Request-Id", "r1"},
             {"X-Sapphirereel-Token-Count", "10,20"}},
            {}),
        std::chrono::seconds{6},
        [&got](buffered_response answer) { got = std::move(answer); });
    with.world.run_until([&] { return with.running != nullptr; });
    auto const source = with.drain();
    with.world.run_until([&got] { return got.has_value(); });
    auto const is_whole = got && got->has_value();
    return {source, is_whole ? (*got)->body : std::string{"broken"}};
}

TEST(run_on_a_draining_replica, is_copied_stopped_and_resumed_elsewhere)
{
    auto with = migrating_pair{};
    ASSERT_TRUE(with.world.start());
    auto const [source, body] = request_and_drain(with);
    EXPECT_EQ(body, event(1) + event(2) + event(3) + event(4) + event(5));
    EXPECT_EQ(
        with.migration_requests, (std::vector<std::string>{"copy", "stop"}));
    EXPECT_EQ(with.requested_memory, source + "/h1");
    EXPECT_TRUE(with.world.logged("resumed on another replica"));
}

TEST(
    run_on_a_draining_replica,
    is_copied_again_later_if_the_replica_does_not_know_it_yet)
{
    auto with = migrating_pair{};
    with.copies_refused = 2;
    ASSERT_TRUE(with.world.start());
    auto const [source, body] = request_and_drain(with);
    EXPECT_EQ(body, event(1) + event(2) + event(3) + event(4) + event(5));
    EXPECT_EQ(
        with.migration_requests,
        (std::vector<std::string>{"copy", "copy", "copy", "stop"}));
}

// A run that was stopped to migrate must not be lost because its destination
// rejects it: the source still holds it.
TEST(
    run_on_a_draining_replica, resumes_at_its_source_if_the_destination_is_full)
{
    auto with = migrating_pair{};
    with.destination_is_full = true;
    ASSERT_TRUE(with.world.start());
    auto const [source, body] = request_and_drain(with);
    EXPECT_EQ(body, event(1) + event(2) + event(3) + event(4) + event(5));
    EXPECT_EQ(with.requested_memory, source + "/h1");
}

// A run must not be sent back to a replica that has drained for too long.
TEST(run_on_a_draining_replica, returns_to_its_source_only_while_that_may_be)
{
    using std::chrono::milliseconds;
    auto const limit = duration{milliseconds{2'000}};
    EXPECT_TRUE(may_return_to_source(milliseconds{1'200}, limit));
    EXPECT_FALSE(may_return_to_source(milliseconds{1'201}, limit));
}

TEST(migration_time_estimate, is_proportional_to_the_memory)
{
    auto const traits = engine_traits{34'000, 18'432, 2'700, true, true, 4};
    auto const four_thousand = migration_time(traits, 4'000);
    EXPECT_GT(four_thousand, std::chrono::milliseconds{218});
    EXPECT_LT(four_thousand, std::chrono::milliseconds{300});
    EXPECT_EQ(migration_time(traits, 8'000), 2 * four_thousand);
    EXPECT_EQ(migration_time({}, 8'000), duration{0});
}

} // namespace
} // namespace sapphirereel::relay::test
