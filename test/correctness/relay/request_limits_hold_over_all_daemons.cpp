// A replica in need names in its answers how many requests a second it takes
// from all daemons together; more than one and a half times that, and 5, in 4 s
// break its promise to be spared.
#include "support/relay/relay_fleet.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto stated_rate = 2.0;

/// Most requests in 4 s at the stated rate.
constexpr auto allowed_in_4_s =
    static_cast<std::size_t>(1.5 * stated_rate * 4 + 5);

auto serve_with_limit(
    std::shared_ptr<caller_session> const& from, http::request const& request)
    -> void
{
    auto fields = signed_fields(request);
    fields.push_back({"Server-Limit", fmt::format("{:.1f}", stated_rate)});
    from->respond(200, fields, "done");
}

// One daemon sends more than the replica takes.
TEST(limited_replica, gets_no_more_from_one_daemon_than_it_takes)
{
    auto fleet = relay_fleet{1};
    auto limited = fake_replica{fleet.loop, serve_with_limit};
    auto free = fake_replica{fleet.loop, serve_normally};
    fleet.add("one", "plain", limited.port);
    fleet.add("two", "plain", free.port);
    ASSERT_TRUE(fleet.start());
    ASSERT_TRUE(fleet.run_until([&] {
        fleet.send_request(0, "/safe/a");
        fleet.run_for(std::chrono::milliseconds{10});
        return !limited.requests.empty();
    }));
    fleet.run_for(std::chrono::milliseconds{500});
    auto const before = limited.requests.size();
    auto const answered = fleet.responses.size();
    for (auto at = 0; at < 80; ++at)
    {
        fleet.send_request(0, at % 2 == 0 ? "/safe/a" : "/once/a");
        fleet.run_for(std::chrono::milliseconds{25});
    }
    ASSERT_TRUE(fleet.run_until(
        [&] { return fleet.responses.size() == answered + 80; }));
    EXPECT_LE(limited.requests.size() - before, allowed_in_4_s);
    // What the limit leaves over is served elsewhere.
    EXPECT_EQ(fleet.count_of(200), fleet.responses.size());
}

// Each of several daemons alone stays within the limit; together they don't.
TEST(limited_replica, gets_no_more_from_all_daemons_than_it_takes)
{
    auto fleet = relay_fleet{7};
    auto limited = fake_replica{fleet.loop, serve_with_limit};
    auto free = fake_replica{fleet.loop, serve_normally};
    fleet.add("one", "plain", limited.port);
    fleet.add("two", "plain", free.port);
    ASSERT_TRUE(fleet.start());
    auto const send_to_all = [&](int rounds) {
        for (auto round = 0; round < rounds; ++round)
        {
            for (auto daemon = 0U; daemon < fleet.nodes.size(); ++daemon)
            {
                fleet.send_request(daemon, "/safe/a");
                fleet.run_for(std::chrono::milliseconds{25});
            }
        }
    };
    // Enough that each daemon has passed on an answer of the replica.
    send_to_all(8);
    fleet.run_for(std::chrono::milliseconds{500});
    auto const before = limited.requests.size();
    send_to_all(16);
    fleet.run_for(std::chrono::milliseconds{300});
    EXPECT_LE(limited.requests.size() - before, allowed_in_4_s);
    EXPECT_GE(limited.requests.size() - before, 2U);
    EXPECT_EQ(fleet.count_of(200), fleet.responses.size());
}

// When each replica of the service takes less than callers ask for, the rest is
// refused at once, and truly not run.
TEST(limited_replicas, of_a_whole_service_have_the_rest_refused_at_once)
{
    auto fleet = relay_fleet{2};
    auto one = fake_replica{fleet.loop, serve_with_limit};
    auto two = fake_replica{fleet.loop, serve_with_limit};
    fleet.add("one", "plain", one.port);
    fleet.add("two", "plain", two.port);
    ASSERT_TRUE(fleet.start());
    for (auto at = 0U; at < 120; ++at)
    {
        fleet.send_request(at % 2, "/once/a");
        fleet.run_for(std::chrono::milliseconds{25});
    }
    ASSERT_TRUE(fleet.run_until([&] { return fleet.responses.size() == 120; }));
    auto const served = fleet.count_of(200);
    EXPECT_EQ(served + fleet.count_of(503), 120U);
    EXPECT_EQ(served, one.requests.size() + two.requests.size());
    EXPECT_LE(served, 2 * allowed_in_4_s);
    // Two replicas take four requests a second for some 3 s.
    EXPECT_GE(served, 8U);
    EXPECT_TRUE(fleet.logged("replicas_limited"));
}

// A limit holds only for as long as the replica states it.
TEST(limited_replica, gets_its_share_again_when_its_limit_ends)
{
    auto fleet = relay_fleet{3};
    auto is_limited = true;
    auto limited = fake_replica{
        fleet.loop, [&](auto const& from, http::request const& request) {
            (is_limited ? serve_with_limit : serve_normally)(from, request);
        }};
    fleet.add("one", "plain", limited.port);
    ASSERT_TRUE(fleet.start());
    auto const send = [&](unsigned count) {
        auto const before = fleet.count_of(200);
        for (auto at = 0U; at < count; ++at)
        {
            fleet.send_request(at % 3, "/safe/a");
            fleet.run_for(std::chrono::milliseconds{25});
        }
        fleet.run_for(std::chrono::milliseconds{200});
        return fleet.count_of(200) - before;
    };
    EXPECT_LE(send(80), 20U);
    is_limited = false;
    send(60);
    EXPECT_EQ(send(40), 40U);
}

} // namespace
} // namespace sapphirereel::relay::test
