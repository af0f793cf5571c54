// A replica says in its answers that it leaves, and for how long it wants no
// requests from this daemon.
#include "support/relay/relay_fixture.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto serve_while_leaving(
    std::shared_ptr<caller_session> const& from, http::request const& request)
    -> void
{
    auto fields = signed_fields(request);
    fields.push_back({"Server-Leaving", "1"});
    from->respond(200, fields, "done");
}

auto reject_for_seconds(std::string seconds)
{
    return [seconds = std::move(seconds)](
               std::shared_ptr<caller_session> const& from,
               http::request const&) {
        from->respond(
            503,
            {{"X-Sapphirereel-Not-Executed", "1"}, {"Retry-After", seconds}},
            {});
    };
}

TEST(leaving_replica, that_says_so_in_an_answer_gets_no_more_requests)
{
    auto world = relay_fixture{};
    auto leaving = fake_replica{world.loop, serve_while_leaving};
    world.configure(1);
    world.add("one", "plain", leaving);
    ASSERT_TRUE(world.start());
    EXPECT_TRUE(world.send_request("GET", "/once/a"));
    auto const refused = world.send_request("GET", "/once/a");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->head.status, 503);
    EXPECT_EQ(leaving.requests.size(), 1U);
    EXPECT_TRUE(world.logged("a replica says that it leaves"));
}

// The replica's own word holds although its record in the log is renewed as
// ready, as it is while the log does not accept the replica's report.
TEST(leaving_replica, stays_so_when_its_record_is_renewed)
{
    auto entries = leaving_replica_set{};
    auto const id = endpoint_id{"r"};
    auto const now = time_point{std::chrono::seconds{9}};
    entries.record_leaving({id, 7, 1'000, 3, true}, now);
    EXPECT_TRUE(entries.covers(id, {8, 1'000, 4}));
    EXPECT_TRUE(entries.covers(id, {{2, 5}, 1'000, 9}));
    // A later start under the same id is another replica.
    EXPECT_FALSE(entries.covers(id, {8, 2'000, 1}));
    EXPECT_TRUE(entries.covers(id, {8, 500, 1}));
}

TEST(busy_replica, is_not_asked_again_before_the_time_that_it_states)
{
    auto world = relay_fixture{};
    auto busy = fake_replica{world.loop, reject_for_seconds("30")};
    auto free = fake_replica{world.loop, serve_normally};
    world.configure(1);
    world.add("one", "plain", busy);
    world.add("two", "plain", free);
    ASSERT_TRUE(world.start());
    for (auto at = 0; at < 12; ++at)
    {
        auto const answer = world.send_request("GET", "/safe/a");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 200);
    }
    EXPECT_LE(busy.requests.size(), 1U);
}

TEST(busy_replicas, of_a_whole_service_have_callers_refused_at_once)
{
    auto world = relay_fixture{};
    auto one = fake_replica{world.loop, reject_for_seconds("20")};
    auto two = fake_replica{world.loop, reject_for_seconds("1.5")};
    world.configure(1);
    world.add("one", "plain", one);
    world.add("two", "plain", two);
    ASSERT_TRUE(world.start());
    for (auto at = 0; at < 3; ++at)
    {
        auto const answer = world.send_request("GET", "/once/a");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 503);
        auto const wait = http::find(answer->head.fields, "Retry-After");
        ASSERT_TRUE(wait);
        EXPECT_LE(std::stod(std::string{*wait}), 1.5);
        EXPECT_GT(std::stod(std::string{*wait}), 0.5);
    }
    EXPECT_EQ(one.requests.size() + two.requests.size(), 2U);
}

// Runs that a busy replica executes may need a request there, as to be copied
// elsewhere before it ends.
TEST(busy_replica, gets_at_most_two_requests_for_runs_that_it_executes)
{
    auto table = replica_table{zone_name{"z"}, 1};
    auto const now = time_point{std::chrono::seconds{9}};
    auto one = replica{};
    one.id = endpoint_id{"one"};
    table.set_replicas({one});
    table.set_backoff(one.id, std::chrono::seconds{2}, now);
    EXPECT_TRUE(table.take_backoff_allowance(one.id, now));
    EXPECT_TRUE(table.take_backoff_allowance(one.id, now));
    EXPECT_FALSE(table.take_backoff_allowance(one.id, now));
    EXPECT_TRUE(
        table.take_backoff_allowance(one.id, now + std::chrono::seconds{3}));
    EXPECT_FALSE(table.time_until_accepted({}, now + std::chrono::seconds{3}));
}

} // namespace
} // namespace sapphirereel::relay::test
