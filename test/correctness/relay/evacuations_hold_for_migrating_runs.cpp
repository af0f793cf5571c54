// A run that migrates must not end up in a zone that is evacuated while the
// migration is under way, neither at its destination nor back at its source.
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto event(int number) -> std::string
{
    return fmt::format("id: {}\ndata: e{}\n\n", number, number);
}

auto expected_replica(http::request const& request) -> std::string
{
    return std::string{
        http::find(request.fields, "X-Sapphirereel-Expect-Instance")
            .value_or("")};
}

/// Three replicas of an engine, each in a zone of its own name. The one that
/// gets the request produces three events and waits to be stopped; the one that
/// resumes the run produces two more.
struct three_zones
{
    three_zones()
    {
        world.configure(1);
        for (auto const* const name : {"a", "b", "c"})
        {
            ports[name] =
                replicas.emplace_back(world.loop, serve_as(name)).port;
            add(name, "ready");
        }
    }

    auto add(std::string const& name, std::string const& state) -> void
    {
        world.log.write(
            keyed_stream::replicas, name,
            fmt::format(
                R"({{"service":"engine","address":"{}:{}","zone":"{}",)"
                R"("slots":4,"state":"{}"}})",
                process_loopback_ip(), ports[name], name, state));
    }

    auto serve_as(std::string const& name) -> fake_replica::handler
    {
        return [this, name](
                   std::shared_ptr<caller_session> const& from,
                   http::request const& request) {
            if (request.target == "/-/kv-move")
            {
                handle_migration(*from, request.body);
                return;
            }
            from->begin_stream(200, "OK", signed_fields(request));
            if (http::find(request.fields, "Kv-From"))
            {
                resumed_at = expected_replica(request);
                from->stream(event(4) + event(5));
                from->finish_stream();
                return;
            }
            from->stream(event(1) + event(2) + event(3));
            running = from;
            source = name;
        };
    }

    auto handle_migration(caller_session& from, std::string const& body) -> void
    {
        for (auto const& [name, port] : ports)
        {
            if (body.find(fmt::format(":{}\"", port)) != std::string::npos)
            {
                destination = name;
            }
        }
        auto const stops = body.find("\"last\":true") != std::string::npos;
        (stops ? at_stop : at_copy)();
        if (stops)
        {
            running->close_incomplete();
        }
        from.respond(
            200, {{"Content-Type", "application/json"}},
            R"({"handle":"h1","create-rev":3})");
    }

    auto evacuate(std::set<std::string> const& names) -> void
    {
        auto zones = std::set<zone_name>{};
        for (auto const& each : names)
        {
            zones.insert(zone_name{each});
        }
        world.node().state().replicas.set_evacuated(std::move(zones));
    }

    /// Has a stream start and its replica drain; returns what the caller got.
    auto run_and_drain() -> std::string
    {
        auto pool = upstream_pool{world.loop};
        auto got = std::optional<buffered_response>{};
        buffered_call::start(
            world.loop, pool, world.caller_address(),
            http::write_request(
                "GET", "/stream/a",
                {{"Host", "h"},
                 {"X-Sapphirereel-Request-Id", "r1"},
                 {"X-Sapphirereel-Token-Count", "10,20"}},
                {}),
            std::chrono::seconds{6},
            [&got](buffered_response answer) { got = std::move(answer); });
        world.run_until([&] { return running != nullptr; });
        before_drain();
        add(source, "draining");
        world.run_until([&got] { return got.has_value(); });
        return got && *got ? (*got)->body : std::string{"broken"};
    }

    relay_fixture world;
    std::deque<fake_replica> replicas;
    std::map<std::string, std::uint16_t> ports;
    std::shared_ptr<caller_session> running;
    std::string source;
    std::string destination;
    std::string resumed_at;
    std::function<void()> before_drain = [] {
    };
    std::function<void()> at_copy = [] {
    };
    std::function<void()> at_stop = [] {
    };
};

auto const whole = event(1) + event(2) + event(3) + event(4) + event(5);

/// The zone that is neither of two.
auto other_than(std::string const& one, std::string const& two) -> std::string
{
    for (auto const* const each : {"a", "b", "c"})
    {
        if (each != one && each != two)
        {
            return each;
        }
    }
    return {};
}

// A run in an evacuated zone may finish, and migrates to a zone that stays.
TEST(run_in_an_evacuated_zone, migrates_to_the_zone_that_stays)
{
    auto with = three_zones{};
    ASSERT_TRUE(with.world.start());
    auto stays = std::string{};
    with.before_drain = [&] {
        stays = other_than(with.source, {});
        with.evacuate({with.source, other_than(with.source, stays)});
    };
    EXPECT_EQ(with.run_and_drain(), whole);
    EXPECT_EQ(with.resumed_at, stays);
}

TEST(run_that_is_copied, goes_elsewhere_if_its_destination_is_evacuated)
{
    auto with = three_zones{};
    ASSERT_TRUE(with.world.start());
    auto first = std::string{};
    with.at_copy = [&] {
        if (first.empty())
        {
            first = with.destination;
            with.evacuate({first});
        }
    };
    EXPECT_EQ(with.run_and_drain(), whole);
    EXPECT_EQ(with.resumed_at, other_than(with.source, first));
}

TEST(stopped_run, returns_to_its_source_if_its_destination_is_evacuated)
{
    auto with = three_zones{};
    ASSERT_TRUE(with.world.start());
    with.at_stop = [&] {
        with.evacuate({with.destination});
    };
    EXPECT_EQ(with.run_and_drain(), whole);
    EXPECT_EQ(with.resumed_at, with.source);
    EXPECT_TRUE(with.world.logged("not resumed in an evacuated zone"));
}

TEST(stopped_run, is_not_sent_to_an_evacuated_source)
{
    auto with = three_zones{};
    ASSERT_TRUE(with.world.start());
    with.at_stop = [&] {
        with.evacuate({with.destination, with.source});
    };
    EXPECT_EQ(with.run_and_drain(), "broken");
    EXPECT_TRUE(with.resumed_at.empty());
    EXPECT_TRUE(with.world.logged("stream lost"));
}

} // namespace
} // namespace sapphirereel::relay::test
