#include "sapphirereel/relay/crash_tracker.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto const poison = digest{"lethal"};
auto const harmless = digest{"innocent"};

auto replica_named(std::string const& id) -> replica
{
    auto made = replica{};
    made.id = endpoint_id{id};
    return made;
}

auto at(int seconds) -> time_point
{
    return time_point{} + std::chrono::seconds{100 + seconds};
}

TEST(crash_tracker, blocks_a_request_after_three_crashes)
{
    auto tracker = crash_tracker{};
    EXPECT_FALSE(tracker.has_suspects());
    tracker.record_replica_crash(replica_named("a"), poison, at(0));
    tracker.record_replica_crash(replica_named("b"), poison, at(1));
    EXPECT_FALSE(tracker.is_poison(poison));
    tracker.record_replica_crash(replica_named("c"), poison, at(2));
    EXPECT_TRUE(tracker.is_poison(poison));
    EXPECT_FALSE(tracker.is_poison(harmless));
}

TEST(crash_tracker, counts_a_crash_once_if_reported_repeatedly)
{
    auto tracker = crash_tracker{};
    tracker.record_replica_crash(replica_named("a"), poison, at(0));
    tracker.record_replica_crash(replica_named("a"), poison, at(1));
    tracker.record_replica_crash(replica_named("a"), poison, at(2));
    EXPECT_FALSE(tracker.is_poison(poison));
}

TEST(crash_tracker, counts_crashes_of_restarted_replicas_separately)
{
    auto tracker = crash_tracker{};
    for (auto start = 1U; start <= 3; ++start)
    {
        auto which = replica_named("a");
        which.started_at_ms = start;
        tracker.record_replica_crash(
            which, poison, at(static_cast<int>(start)));
    }
    EXPECT_TRUE(tracker.is_poison(poison));
}

TEST(crash_tracker, clears_an_answered_request)
{
    auto tracker = crash_tracker{};
    tracker.record_replica_crash(replica_named("a"), harmless, at(0));
    tracker.record_replica_crash(replica_named("b"), harmless, at(1));
    tracker.record_response(harmless, at(2));
    tracker.record_replica_crash(replica_named("c"), harmless, at(3));
    EXPECT_FALSE(tracker.is_poison(harmless));
}

TEST(crash_tracker, merges_reports_of_peers)
{
    auto here = crash_tracker{};
    auto there = crash_tracker{};
    here.record_replica_crash(replica_named("a"), poison, at(0));
    there.record_replica_crash(replica_named("b"), poison, at(0));
    there.record_replica_crash(replica_named("c"), poison, at(1));
    here.apply_report(there.entries_to_report(), at(1));
    EXPECT_TRUE(here.is_poison(poison));
    EXPECT_FALSE(there.is_poison(poison));
    there.apply_report(here.entries_to_report(), at(1));
    EXPECT_TRUE(there.is_poison(poison));
    there.record_response(poison, at(2));
    here.apply_report(there.entries_to_report(), at(2));
    EXPECT_FALSE(here.is_poison(poison));
}

TEST(crash_tracker, drops_expired_reports_and_crashes)
{
    auto tracker = crash_tracker{};
    tracker.record_replica_crash(replica_named("a"), poison, at(0));
    EXPECT_EQ(tracker.entries_to_report().deaths.size(), 1U);
    tracker.expire(at(60));
    EXPECT_TRUE(tracker.entries_to_report().deaths.empty());
    EXPECT_TRUE(tracker.has_suspects());
    tracker.expire(at(3'600));
    EXPECT_FALSE(tracker.has_suspects());
}

TEST(crash_tracker, identifies_requests_by_customer_target_and_body)
{
    auto request = caller_request{};
    request.id = "1";
    request.target = "/a";
    request.body = "b";
    auto again = request;
    again.id = "2";
    auto const customer = customer_id{"c"};
    EXPECT_EQ(
        request_fingerprint(request, customer),
        request_fingerprint(again, customer));
    EXPECT_NE(
        request_fingerprint(request, customer),
        request_fingerprint(again, std::nullopt));
    again.body = "c";
    EXPECT_NE(
        request_fingerprint(request, customer),
        request_fingerprint(again, customer));
    again = request;
    again.target = "/ab";
    again.body = "";
    EXPECT_NE(
        request_fingerprint(request, customer),
        request_fingerprint(again, customer));
}

/// Closes the connection for a request to /once/lethal, as a crash does, and
/// serves the rest.
auto serve_or_crash(
    std::shared_ptr<caller_session> const& from, http::request const& request)
    -> void
{
    if (request.target == "/once/lethal")
    {
        from->abort();
        return;
    }
    serve_normally(from, request);
}

TEST(poison_request, is_refused_after_three_crashes_and_others_are_served)
{
    auto world = relay_fixture{};
    auto replicas = std::vector<std::unique_ptr<fake_replica>>{};
    world.configure(1);
    for (auto const* const id : {"a", "b", "c", "d", "e"})
    {
        replicas.push_back(
            std::make_unique<fake_replica>(world.loop, serve_or_crash));
        world.add(id, "plain", *replicas.back());
    }
    ASSERT_TRUE(world.start());
    for (auto attempt = 0; attempt < 8; ++attempt)
    {
        auto const answer = world.send_request("GET", "/once/lethal");
        ASSERT_TRUE(answer);
        EXPECT_NE(answer->head.status, 200);
    }
    auto runs = std::size_t{0};
    for (auto const& each : replicas)
    {
        runs += each->requests.size();
    }
    EXPECT_EQ(runs, 3U);
    EXPECT_TRUE(world.logged("found to crash replicas"));
    auto const refused = world.send_request("GET", "/once/lethal");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->head.status, 503);
    EXPECT_EQ(refused->body, "crashes_replicas");
    EXPECT_TRUE(http::find(refused->head.fields, "Retry-After"));
    auto const served = world.send_request("GET", "/once/innocent");
    ASSERT_TRUE(served);
    EXPECT_EQ(served->head.status, 200);
}

} // namespace
} // namespace sapphirereel::relay::test
