// All daemons together must not send a cold replica more than it takes in any
// second; what it can't take is served by others or refused.
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

constexpr auto cold_rate = 10.0;
constexpr auto allowed_in_a_second =
    static_cast<std::size_t>(1.5 * cold_rate + 5);

/// A replica that records when requests arrive, and may say that it is cold.
class timed_replica
{
public:
    explicit timed_replica(asio::io_context& loop)
        : replica_(
              loop, [this](auto const& from, http::request const& request) {
                  arrived.push_back(telemetry::monotonic_now());
                  auto fields = signed_fields(request);
                  if (states_cold)
                  {
                      fields.push_back({"X-Sapphirereel-Cold-Ms", "8000"});
                  }
                  from->respond(200, fields, "done");
              })
    {}

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return replica_.port;
    }

    [[nodiscard]] auto most_in_a_second() const -> std::size_t
    {
        auto most = std::size_t{0};
        for (auto first = arrived.begin(); first != arrived.end(); ++first)
        {
            auto const last = std::lower_bound(
                first, arrived.end(), *first + std::chrono::seconds{1});
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::vector<time_point> arrived;
    bool states_cold = false;

private:
    fake_replica replica_;
};

/// Daemons, and a service whose cold replicas have a rate.
struct cold_fleet : relay_fleet
{
    explicit cold_fleet(std::size_t daemons)
        : relay_fleet(daemons)
    {
        for (auto const& each : logs)
        {
            each->write(
                keyed_stream::configuration, "config",
                R"({"version":2,"routes":[{"name":"once","host":"h",)"
                R"("path-prefix":"/once/","kind":"unsafe","service":"plain",)"
                R"("timeout-ms":1500,"target-latency-ms":150}],"services":[)"
                R"({"name":"plain","warmup-s":8,"cold-per-s":10}]})");
        }
    }

    auto add_in(
        std::string const& zone,
        std::string const& id,
        timed_replica const& replica,
        int cold_ms) -> void
    {
        for (auto const& each : logs)
        {
            each->write(
                keyed_stream::replicas, id,
                fmt::format(
                    R"({{"service":"plain","address":"{}:{}","zone":"{}",)"
                    R"("slots":4,"state":"ready","cold-remaining-ms":{}}})",
                    process_loopback_ip(), replica.port(), zone, cold_ms));
        }
    }

    /// Sends a request to each daemon in turn, so many per second in all.
    auto send_for(duration length, duration interval) -> void
    {
        auto const end = telemetry::monotonic_now() + length;
        for (auto at = std::size_t{0}; telemetry::monotonic_now() < end; ++at)
        {
            send_request(at % nodes.size(), "/once/a");
            run_for(interval);
        }
        run_for(milliseconds{300});
    }

    auto evacuate(
        std::string const& zone, std::optional<std::string> const& value)
        -> void
    {
        for (auto const& each : logs)
        {
            each->write(keyed_stream::configuration, "evacuate/" + zone, value);
        }
    }
};

TEST(cold_replica, gets_no_more_than_its_rate_from_all_daemons)
{
    auto fleet = cold_fleet{5};
    auto cold = timed_replica{fleet.loop};
    auto warm = timed_replica{fleet.loop};
    fleet.add_in("z", "cold", cold, 8'000);
    fleet.add_in("z", "warm", warm, 0);
    ASSERT_TRUE(fleet.start());
    fleet.send_for(milliseconds{2'500}, milliseconds{10});
    EXPECT_LE(cold.most_in_a_second(), allowed_in_a_second);
    EXPECT_GE(cold.arrived.size(), 5U);
    // The rest is served by the warm one.
    EXPECT_EQ(fleet.count_of(200), fleet.responses.size());
}

// A service may have only cold replicas, as after its start.
TEST(cold_replica, that_is_the_only_one_has_the_rest_refused)
{
    auto fleet = cold_fleet{3};
    auto cold = timed_replica{fleet.loop};
    fleet.add_in("z", "cold", cold, 8'000);
    ASSERT_TRUE(fleet.start());
    fleet.send_for(milliseconds{2'000}, milliseconds{10});
    ASSERT_TRUE(fleet.run_until([&] {
        return fleet.count_of(200) + fleet.count_of(503) ==
               fleet.responses.size();
    }));
    EXPECT_LE(cold.most_in_a_second(), allowed_in_a_second);
    EXPECT_EQ(fleet.count_of(200), cold.arrived.size());
    EXPECT_GE(cold.arrived.size(), 10U);
    EXPECT_TRUE(fleet.logged("replicas_limited"));
}

// Only a response to one of the daemons says that the replica became cold.
TEST(cold_replica, that_turned_cold_without_notice_is_spared_by_all)
{
    auto fleet = cold_fleet{5};
    auto one = timed_replica{fleet.loop};
    auto two = timed_replica{fleet.loop};
    fleet.add_in("z", "one", one, 0);
    fleet.add_in("z", "two", two, 0);
    ASSERT_TRUE(fleet.start());
    one.states_cold = true;
    ASSERT_TRUE(fleet.run_until([&] {
        fleet.send_request(0, "/once/a");
        fleet.run_for(milliseconds{5});
        return !one.arrived.empty();
    }));
    fleet.run_for(milliseconds{300});
    one.arrived.clear();
    fleet.send_for(milliseconds{2'000}, milliseconds{10});
    EXPECT_LE(one.most_in_a_second(), allowed_in_a_second);
    EXPECT_EQ(fleet.count_of(200), fleet.responses.size());
}

// All daemons see the zone's replicas idle when it is returned.
TEST(zone_of_15_replicas, that_is_returned_at_one_moment_is_used_by_its_rates)
{
    auto fleet = cold_fleet{3};
    auto returned = std::deque<timed_replica>{};
    fleet.evacuate("y", "{}");
    for (auto at = 0; at < 15; ++at)
    {
        fleet.add_in(
            "y", fmt::format("r{}", at), returned.emplace_back(fleet.loop), 0);
    }
    ASSERT_TRUE(fleet.start());
    fleet.evacuate("y", std::nullopt);
    auto const is_returned = [&] {
        fleet.send_for(milliseconds{30}, milliseconds{3});
        return std::all_of(
            fleet.nodes.begin(), fleet.nodes.end(), [](auto const& each) {
                return each->state().replicas.evacuated().empty();
            });
    };
    ASSERT_TRUE(fleet.run_until(is_returned));
    fleet.send_for(milliseconds{2'000}, milliseconds{3});
    auto all = std::size_t{0};
    for (auto const& each : returned)
    {
        EXPECT_LE(each.most_in_a_second(), allowed_in_a_second);
        all += each.arrived.size();
    }
    // A third of what they take in 2 s, or more.
    EXPECT_GE(all, 100U);
    EXPECT_EQ(fleet.count_of(200), all);
}

// Each heartbeat of a cold replica states another time. If that were a change,
// all daemons would report and fetch all heartbeats of a fleet.
TEST(heartbeat, that_only_counts_the_cold_time_down_is_no_change)
{
    auto world = relay_fixture{};
    auto replica = fake_replica{world.loop, serve_normally};
    auto const write = [&](int sequence, int cold_ms) {
        world.log.write(
            keyed_stream::replicas, "one",
            fmt::format(
                R"({{"service":"plain","address":"{}:{}","zone":"z","slots":4,)"
                R"("state":"ready","sequence":{},"cold-remaining-ms":{}}})",
                process_loopback_ip(), replica.port, sequence, cold_ms));
    };
    // The records that changed after the first one, once all are applied.
    auto const changed_of = [&](std::uint64_t records) {
        auto copy = std::optional<peer_copy>{};
        world.run_until([&] {
            auto const answer = world.fetch_from_node(
                copy_path({keyed_stream::replicas, log_position{1}}));
            copy = answer ? read_copy(answer->body) : std::nullopt;
            return copy && copy->page.next.offset == records;
        });
        return copy ? copy->page.records.size() : 99;
    };
    world.configure(1);
    write(1, 5'000);
    ASSERT_TRUE(world.start());
    write(2, 4'000);
    write(3, 1'000);
    write(4, 0);
    EXPECT_EQ(changed_of(4), 0U);
    // It becomes cold again, which all daemons have to know.
    write(5, 6'000);
    EXPECT_EQ(changed_of(5), 1U);
}

} // namespace
} // namespace sapphirereel::relay::test
