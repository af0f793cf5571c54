#include "sapphirereel/relay/crash_tracker.hpp"
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto const lethal = digest{"lethal"};
auto const innocent = digest{"innocent"};

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

TEST(crash_tracker, holds_three_crashes_against_a_request)
{
    auto watch = crash_tracker{};
    EXPECT_FALSE(watch.has_suspects());
    watch.crashed(replica_named("a"), lethal, at(0));
    watch.crashed(replica_named("b"), lethal, at(1));
    EXPECT_FALSE(watch.is_poison(lethal));
    watch.crashed(replica_named("c"), lethal, at(2));
    EXPECT_TRUE(watch.is_poison(lethal));
    EXPECT_FALSE(watch.is_poison(innocent));
}

TEST(crash_tracker, counts_a_crash_once_however_many_tell_of_it)
{
    auto watch = crash_tracker{};
    watch.crashed(replica_named("a"), lethal, at(0));
    watch.crashed(replica_named("a"), lethal, at(1));
    watch.crashed(replica_named("a"), lethal, at(2));
    EXPECT_FALSE(watch.is_poison(lethal));
}

TEST(crash_tracker, counts_each_start_of_a_replica_under_one_id)
{
    auto watch = crash_tracker{};
    for (auto start = 1U; start <= 3; ++start)
    {
        auto which = replica_named("a");
        which.started_at_ms = start;
        watch.crashed(which, lethal, at(static_cast<int>(start)));
    }
    EXPECT_TRUE(watch.is_poison(lethal));
}

TEST(crash_tracker, clears_a_request_that_was_answered)
{
    auto watch = crash_tracker{};
    watch.crashed(replica_named("a"), innocent, at(0));
    watch.crashed(replica_named("b"), innocent, at(1));
    watch.answered(innocent, at(2));
    watch.crashed(replica_named("c"), innocent, at(3));
    EXPECT_FALSE(watch.is_poison(innocent));
}

TEST(crash_tracker, learns_from_peers)
{
    auto here = crash_tracker{};
    auto there = crash_tracker{};
    here.crashed(replica_named("a"), lethal, at(0));
    there.crashed(replica_named("b"), lethal, at(0));
    there.crashed(replica_named("c"), lethal, at(1));
    here.apply_report(there.entries_to_report(), at(1));
    EXPECT_TRUE(here.is_poison(lethal));
    EXPECT_FALSE(there.is_poison(lethal));
    there.apply_report(here.entries_to_report(), at(1));
    EXPECT_TRUE(there.is_poison(lethal));
    there.answered(lethal, at(2));
    here.apply_report(there.entries_to_report(), at(2));
    EXPECT_FALSE(here.is_poison(lethal));
}

TEST(crash_tracker, tells_and_remembers_for_a_time)
{
    auto watch = crash_tracker{};
    watch.crashed(replica_named("a"), lethal, at(0));
    EXPECT_EQ(watch.entries_to_report().deaths.size(), 1U);
    watch.expire(at(60));
    EXPECT_TRUE(watch.entries_to_report().deaths.empty());
    EXPECT_TRUE(watch.has_suspects());
    watch.expire(at(3'600));
    EXPECT_FALSE(watch.has_suspects());
}

TEST(crash_tracker, knows_a_request_by_caller_target_and_body)
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

/// Dies of what stands under /once/lethal, and serves the rest.
auto serve_or_die(
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

TEST(lethal_request, is_refused_after_three_crashes_and_others_are_served)
{
    auto world = relay_fixture{};
    auto replicas = std::vector<std::unique_ptr<fake_replica>>{};
    world.configure(1);
    for (auto const* const id : {"a", "b", "c", "d", "e"})
    {
        replicas.push_back(
            std::make_unique<fake_replica>(world.loop, serve_or_die));
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
