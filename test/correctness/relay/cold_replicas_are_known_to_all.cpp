// A replica that is cold crashes if all daemons together send it too much, so
// that all must know of it: by its record, by what one of them saw, and when
// its zone is returned to service.
#include "sapphirereel/deployment/record_reader.hpp"
#include "sapphirereel/deployment/wire_format.hpp"
#include "sapphirereel/relay/cold_replicas.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto at(int ms) -> time_point
{
    return time_point{seconds{100}} + milliseconds{ms};
}

auto replica_of(std::string id, std::uint64_t started_at_ms = 7) -> replica
{
    auto made = replica{};
    made.id = endpoint_id{std::move(id)};
    made.service = service_name{"s"};
    made.zone = zone_name{"z"};
    made.started_at_ms = started_at_ms;
    return made;
}

auto known_service() -> cold_replicas
{
    auto cold = cold_replicas{};
    auto described = service{};
    described.name = service_name{"s"};
    described.warmup = seconds{20};
    described.cold_rate = 31;
    cold.set_services({described});
    return cold;
}

auto const id = endpoint_id{"r"};

TEST(cold_replica, is_known_by_its_record_until_it_is_warm)
{
    auto cold = known_service();
    auto listed = replica_of("r");
    listed.cold_remaining = seconds{3};
    cold.record_listed(listed, at(0));
    EXPECT_EQ(cold.rate_of(id, at(2'999)), 31);
    EXPECT_FALSE(cold.rate_of(id, at(3'000)));
    // The others know the record too.
    EXPECT_TRUE(cold.entries_to_report(at(0)).empty());
    // A later record says that it has become cold again.
    listed.cold_remaining = seconds{9};
    cold.record_listed(listed, at(4'000));
    EXPECT_TRUE(cold.rate_of(id, at(12'999)));
    // Where the service has no limit, nothing changes.
    cold.set_services({});
    EXPECT_FALSE(cold.rate_of(id, at(5'000)));
    EXPECT_FALSE(
        cold.record_response(replica_of("r"), seconds{60}, at(10), at(15)));
    EXPECT_FALSE(cold.apply_report(
        {{id, 7, seconds{60}}}, {{id, replica_of("r")}}, at(20)));
    EXPECT_TRUE(cold.entries_to_report(at(20)).empty());
}

// It may become cold at any moment, and only a response says so.
TEST(cold_replica, that_turned_cold_without_notice_is_reported_to_peers)
{
    auto cold = known_service();
    EXPECT_FALSE(cold.record_response(replica_of("r"), {}, at(0), at(5)));
    EXPECT_TRUE(
        cold.record_response(replica_of("r"), seconds{10}, at(10), at(15)));
    EXPECT_FALSE(cold.record_response(
        replica_of("r"), milliseconds{9'800}, at(200), at(215)));
    auto const reported = cold.entries_to_report(at(1'015));
    ASSERT_EQ(reported.size(), 1U);
    EXPECT_EQ(reported[0], (cold_entry{id, 7, milliseconds{9'000}}));
    auto peer = known_service();
    EXPECT_TRUE(
        peer.apply_report(reported, {{id, replica_of("r")}}, at(1'020)));
    EXPECT_TRUE(peer.rate_of(id, at(9'000)));
    // The same again, a little later, is no news and extends nothing.
    EXPECT_FALSE(
        peer.apply_report(reported, {{id, replica_of("r")}}, at(1'100)));
    EXPECT_FALSE(peer.rate_of(id, at(10'020)));
}

TEST(cold_replica, of_an_earlier_start_is_not_taken_for_the_present_one)
{
    auto cold = known_service();
    auto const entry = cold_entry{id, 7, seconds{10}};
    EXPECT_FALSE(cold.apply_report({entry}, {{id, replica_of("r", 8)}}, at(0)));
    EXPECT_FALSE(cold.apply_report({entry}, {}, at(0)));
    EXPECT_FALSE(cold.rate_of(id, at(1)));
}

// A response to a request that was sent before the last one was answered may
// have been written before the replica turned cold.
TEST(cold_replica, stays_cold_by_an_older_response_and_is_warm_by_a_newer_one)
{
    auto cold = known_service();
    cold.record_response(replica_of("r"), seconds{10}, at(10), at(50));
    cold.record_response(replica_of("r"), {}, at(20), at(60));
    EXPECT_TRUE(cold.rate_of(id, at(61)));
    cold.record_response(replica_of("r"), {}, at(70), at(80));
    EXPECT_FALSE(cold.rate_of(id, at(81)));
}

// Found by a soak: a daemon that joined after the return of a zone knows of it
// from its peers only, and the replica itself says that it is warm.
TEST(cold_replica, stays_cold_by_a_peers_report_whatever_it_states_itself)
{
    auto joined = known_service();
    joined.apply_report({{id, 7, seconds{10}}}, {{id, replica_of("r")}}, at(0));
    joined.record_response(replica_of("r"), {}, at(100), at(120));
    EXPECT_TRUE(joined.rate_of(id, at(9'999)));
    EXPECT_FALSE(joined.rate_of(id, at(10'000)));
}

TEST(cold_replica, stays_cold_by_a_report_that_its_record_nearly_agrees_with)
{
    auto joined = known_service();
    auto listed = replica_of("r");
    listed.cold_remaining = milliseconds{9'800};
    joined.record_listed(listed, at(0));
    joined.apply_report({{id, 7, seconds{10}}}, {{id, listed}}, at(0));
    joined.record_response(replica_of("r"), {}, at(100), at(120));
    EXPECT_TRUE(joined.rate_of(id, at(9'999)));
}

TEST(zone_that_returns, has_all_its_replicas_cold_from_that_moment)
{
    auto cold = known_service();
    auto listed = std::map<endpoint_id, replica>{};
    for (auto number = 0; number < 20; ++number)
    {
        auto each = replica_of(fmt::format("r{:02}", number));
        each.zone = zone_name{number < 18 ? "z" : "other"};
        listed[each.id] = each;
    }
    cold.zones_returned({zone_name{"z"}}, listed, at(0));
    EXPECT_EQ(cold.cold_now(at(19'999)).size(), 18U);
    EXPECT_TRUE(cold.cold_now(at(20'000)).empty());
    // Daemons that join learn of all from a few reports of limited size.
    auto reported = std::set<endpoint_id>{};
    for (auto report = 0; report < 2; ++report)
    {
        auto const entries = cold.entries_to_report(at(100));
        EXPECT_EQ(entries.size(), 16U);
        for (auto const& each : entries)
        {
            reported.insert(each.id);
        }
    }
    EXPECT_EQ(reported.size(), 18U);
}

TEST(cold_time, is_read_from_records_responses_and_the_configuration)
{
    using deployment::record_reader;
    auto const record = [](std::string const& value) {
        return record_reader::read_replica(
            {"r", 1,
             fmt::format(
                 R"({{"service":"s","address":"10.0.0.9:80","zone":"z",)"
                 R"("slots":4,"state":"ready","cold-remaining-ms":{}}})",
                 value)});
    };
    EXPECT_EQ(record("2500")->cold_remaining, milliseconds{2'500});
    EXPECT_FALSE(record("2500")->has_invalid_cold);
    // An invalid one does not cost the record.
    for (auto const* const invalid : {"-4", "\"x\"", "null", "1e300"})
    {
        EXPECT_EQ(record(invalid)->cold_remaining, duration{0}) << invalid;
        EXPECT_TRUE(record(invalid)->has_invalid_cold) << invalid;
    }
    auto const response = [](std::string const& value) {
        auto head = http::response_head{};
        head.status = 200;
        head.fields = {{"X-Sapphirereel-Cold-Ms", value}};
        return deployment::wire_format::read_response(head);
    };
    EXPECT_EQ(response("1500").cold, duration{milliseconds{1'500}});
    EXPECT_EQ(response("0").cold, duration{0});
    EXPECT_FALSE(response("0").has_invalid_cold);
    EXPECT_FALSE(response("-1").cold);
    EXPECT_TRUE(response("soon").has_invalid_cold);
    auto const whole = record_reader::read_configuration(
        {"config", 4,
         R"({"version":7,"routes":[],"services":[)"
         R"({"name":"s","warmup-s":12.5,"cold-per-s":31}]})"});
    ASSERT_TRUE(whole && *whole);
    EXPECT_EQ((**whole).services.at(0).warmup, milliseconds{12'500});
    EXPECT_EQ((**whole).services.at(0).cold_rate, 31);
}

} // namespace
} // namespace sapphirereel::relay
