// Nothing new may be sent to a replica of an evacuated zone, by any path: an
// operator who evacuates a zone relies on it, also where no other zone has
// replicas of the service.
#include "support/relay/relay_fleet.hpp"

#include "sapphirereel/relay/run_backup.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto now = time_point{std::chrono::seconds{100}};
auto const engine = engine_traits{10'000, 10, 1'000, true, true, 1};
auto const away = zone_name{"away"};
auto const home = zone_name{"home"};

auto replica_in(zone_name const& zone, std::string id) -> replica
{
    auto made = replica{};
    made.id = endpoint_id{std::move(id)};
    made.service = service_name{"s"};
    made.zone = zone;
    made.slots = 4;
    return made;
}

auto need() -> placement_need
{
    return {service_name{"s"}, 100, 10, {}, {}};
}

auto two_zones() -> replica_table
{
    auto table = replica_table{home, 1};
    table.set_replicas({replica_in(home, "h"), replica_in(away, "a")});
    return table;
}

TEST(choice, never_falls_on_an_evacuated_zone)
{
    auto table = two_zones();
    table.set_evacuated({home});
    auto requirement = need();
    // A migration prefers the zone of the memory, unless that is evacuated.
    requirement.memory_zone = home;
    for (auto at = 0; at < 50; ++at)
    {
        EXPECT_EQ(table.choose(need(), engine, now)->target.zone, away);
        EXPECT_EQ(table.choose(need(), std::nullopt, now)->target.zone, away);
        EXPECT_EQ(table.choose(requirement, engine, now)->target.zone, away);
    }
    EXPECT_FALSE(table.has_only_evacuated(service_name{"s"}));
    table.set_evacuated({home, away});
    EXPECT_FALSE(table.choose(need(), engine, now));
    EXPECT_TRUE(table.has_only_evacuated(service_name{"s"}));
    EXPECT_FALSE(table.has_only_evacuated(service_name{"other"}));
    table.set_evacuated({});
    EXPECT_TRUE(table.choose(need(), engine, now));
}

// Else requests would wait for replicas that may not be used.
TEST(backoff, of_the_zones_that_stay_decides_when_work_is_accepted)
{
    auto table = two_zones();
    table.set_evacuated({away});
    table.set_backoff(endpoint_id{"h"}, std::chrono::seconds{1}, now);
    EXPECT_EQ(
        table.time_until_accepted(service_name{"s"}, now),
        duration{std::chrono::seconds{1}});
}

TEST(backup, in_an_evacuated_zone_is_neither_made_nor_used)
{
    auto table = two_zones();
    auto backup = run_backup{table};
    auto const candidate = backup_candidate{need(), replica_in(home, "h"), 800};
    backup.choose(candidate, engine, now);
    ASSERT_TRUE(backup.is_usable());
    table.set_evacuated({away});
    EXPECT_FALSE(backup.is_usable());
    EXPECT_EQ(backup.listed_holder(), nullptr);
    backup.choose(candidate, engine, now);
    EXPECT_FALSE(backup.holder());
}

/// A relay with a plain replica in each of two zones.
struct two_zone_fixture : relay_fixture
{
    explicit two_zone_fixture(fake_replica::handler const& serve)
        : at_home(loop, serve)
        , elsewhere(loop, serve)
    {
        configure(1);
        add_in("home", "h", "plain", at_home.port);
        add_in("away", "a", "plain", elsewhere.port);
    }

    auto add_in(
        std::string const& zone,
        std::string const& id,
        std::string const& service,
        std::uint16_t port,
        std::string const& state = "ready") -> void
    {
        log.write(
            keyed_stream::replicas, id,
            fmt::format(
                R"({{"service":"{}","address":"{}:{}","zone":"{}",)"
                R"("slots":4,"state":"{}"}})",
                service, process_loopback_ip(), port, zone, state));
    }

    auto evacuate(std::string const& zone) -> bool
    {
        log.write(keyed_stream::configuration, "evacuate/" + zone, "{}");
        return run_until([&] {
            return node().state().replicas.evacuated().contains(
                zone_name{zone});
        });
    }

    auto return_to_service(std::string const& zone) -> bool
    {
        log.write(
            keyed_stream::configuration, "evacuate/" + zone, std::nullopt);
        return run_until([&] {
            return !node().state().replicas.evacuated().contains(
                zone_name{zone});
        });
    }

    fake_replica at_home;
    fake_replica elsewhere;
};

// A retry after a replica's failure goes to a zone that stays or nowhere.
TEST(request, and_its_retry_are_not_sent_to_an_evacuated_zone)
{
    auto world =
        two_zone_fixture{[](auto const& from, http::request const& request) {
            from->respond(500, signed_fields(request), "failed");
        }};
    ASSERT_TRUE(world.start());
    ASSERT_TRUE(world.evacuate("away"));
    for (auto at = 0; at < 10; ++at)
    {
        auto const answer = world.send_request("GET", "/safe/a");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 500);
    }
    EXPECT_TRUE(world.elsewhere.requests.empty());
    EXPECT_EQ(world.at_home.requests.size(), 10U);
}

TEST(request, is_refused_at_once_if_the_last_zone_is_evacuated)
{
    auto world = two_zone_fixture{serve_normally};
    ASSERT_TRUE(world.start());
    ASSERT_TRUE(world.evacuate("away"));
    ASSERT_TRUE(world.evacuate("home"));
    for (auto const* const target : {"/safe/a", "/once/a"})
    {
        auto const answer = world.send_request("GET", target);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 503);
        EXPECT_EQ(answer->body, "zone_evacuated");
        EXPECT_TRUE(http::find(answer->head.fields, "Retry-After"));
    }
    EXPECT_TRUE(world.logged("\"zones\":\"away,home\""));
    EXPECT_TRUE(world.at_home.requests.empty());
    EXPECT_TRUE(world.elsewhere.requests.empty());
    ASSERT_TRUE(world.return_to_service("away"));
    EXPECT_EQ(world.send_request("GET", "/once/a")->head.status, 200);
    EXPECT_EQ(world.elsewhere.requests.size(), 1U);
}

// The zone is evacuated while the stream waits for a replica with room.
TEST(held_stream, is_not_sent_to_a_zone_that_was_evacuated_meanwhile)
{
    auto world = two_zone_fixture{serve_normally};
    auto replica = fake_replica{world.loop, serve_normally};
    world.add_in("away", "e", "engine", replica.port);
    ASSERT_TRUE(world.start());
    auto& table = world.node().state().replicas;
    ASSERT_TRUE(world.run_until(
        [&] { return table.find(endpoint_id{"e"}) != nullptr; }));
    table.add(endpoint_id{"e"}, {4, 18'000, 0});
    world.log.write(keyed_stream::configuration, "evacuate/away", "{}");
    auto const answer = world.send_request(
        "GET", "/stream/a", {{"X-Sapphirereel-Token-Count", "10,20"}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, "zone_evacuated");
    EXPECT_TRUE(replica.requests.empty());
    // An entry that stayed in the queue would hold up others for good.
    auto const all = [](service_name const&) {
        return true;
    };
    EXPECT_TRUE(world.node().state().held.entries_to_report(all).empty());
}

// A connection opened to see whether a path works counts as contact.
TEST(lost_path, is_not_tried_at_an_evacuated_zone)
{
    auto world = two_zone_fixture{serve_normally};
    ASSERT_TRUE(world.start());
    ASSERT_TRUE(world.evacuate("away"));
    ASSERT_TRUE(world.evacuate("home"));
    auto const service = service_name{"plain"};
    world.node().state().paths.record_failure(
        service, endpoint_id{"a"}, 1, telemetry::monotonic_now());
    auto const opened = world.node().state().pool.opened();
    world.loop.run_for(std::chrono::milliseconds{1'200});
    world.loop.restart();
    EXPECT_EQ(world.node().state().pool.opened(), opened);
}

// A daemon without a path forwards to a peer, which knows the evacuation too.
TEST(forwarded_request, is_not_sent_to_an_evacuated_zone)
{
    auto fleet = relay_fleet{2};
    auto replica = fake_replica{fleet.loop, serve_normally};
    auto cut = unreachable_port{fleet.loop, unreachable_port::kind::refused};
    fleet.divert(0, {{replica.port, cut.port}});
    fleet.add("one", "plain", replica.port);
    ASSERT_TRUE(fleet.start());
    for (auto at = 0; at < 5; ++at)
    {
        fleet.send_request(0, "/safe/a");
        fleet.run_for(std::chrono::milliseconds{40});
    }
    ASSERT_TRUE(fleet.run_until([&] { return fleet.responses.size() == 5; }));
    auto const before = replica.requests.size();
    EXPECT_GT(before, 0U);
    fleet.logs[1]->write(keyed_stream::configuration, "evacuate/z", "{}");
    ASSERT_TRUE(fleet.run_until(
        [&] { return !fleet.nodes[0]->state().replicas.evacuated().empty(); }));
    for (auto at = 0; at < 5; ++at)
    {
        fleet.send_request(0, "/safe/a");
    }
    ASSERT_TRUE(fleet.run_until([&] { return fleet.responses.size() == 10; }));
    EXPECT_EQ(replica.requests.size(), before);
    EXPECT_EQ(fleet.count_of(503), 5U);
}

} // namespace
} // namespace sapphirereel::relay::test
