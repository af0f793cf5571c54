#include "correctness/core/placement_examples.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

auto const offer = example_offer("r");

auto reply_of(std::string const& replica, bool accepted, float headroom)
    -> reserve_reply_message
{
    return {
        .replica = endpoint_id{replica},
        .run = offer.run,
        .accepted = accepted,
        .headroom = headroom,
        .retry_after_ms = 250};
}

auto two_candidates() -> placement_candidates
{
    return {example_candidate("1", "home1"), example_candidate("2", "home2")};
}

TEST(placement, takes_the_best_reply_and_releases_the_other)
{
    auto search = placement::create({}, 1).value();
    auto const now = time_point{};
    EXPECT_EQ(search.begin(offer, two_candidates(), now).size(), 2U);
    EXPECT_TRUE(
        search.replied(daemon_id{"home1"}, reply_of("1", true, 0.1F), now)
            .empty());
    auto const done =
        search.replied(daemon_id{"home2"}, reply_of("2", true, 0.5F), now);
    ASSERT_EQ(done.size(), 2U);
    EXPECT_EQ(
        std::get<send_release>(done[0]).message.replica, endpoint_id{"1"});
    EXPECT_EQ(std::get<stream_placed>(done[1]).replica, endpoint_id{"2"});
}

TEST(placement, skips_a_home_that_does_not_reply)
{
    auto search = placement::create({}, 1).value();
    search.begin(offer, two_candidates(), time_point{});
    search.replied(daemon_id{"home1"}, reply_of("1", true, 0.1F), {});
    auto const done = search.tick(search.next_timeout().value());
    ASSERT_EQ(done.size(), 2U);
    EXPECT_EQ(std::get<send_release>(done[0]).home, daemon_id{"home2"});
    EXPECT_EQ(std::get<stream_placed>(done[1]).replica, endpoint_id{"1"});
    EXPECT_FALSE(search.next_timeout());
}

TEST(placement, reports_no_place_when_all_refuse)
{
    auto search = placement::create({}, 1).value();
    search.begin(offer, two_candidates(), {});
    search.replied(daemon_id{"home1"}, reply_of("1", false, 0), {});
    auto const done =
        search.replied(daemon_id{"home2"}, reply_of("2", false, 0), {});
    ASSERT_EQ(done.size(), 1U);
    auto const& outcome = std::get<stream_not_placed>(done[0]);
    EXPECT_EQ(outcome.retry_after, std::chrono::milliseconds(250));
    EXPECT_FALSE(outcome.no_candidate);
}

TEST(placement, waits_in_the_queues_and_takes_the_first_grant)
{
    auto search = placement::create({}, 1).value();
    auto waiting = offer;
    waiting.wait_ms = 1'000;
    search.begin(waiting, two_candidates(), {});
    auto queued = reply_of("1", false, 0);
    queued.queued = true;
    search.replied(daemon_id{"home1"}, queued, {});
    queued.replica = endpoint_id{"2"};
    EXPECT_TRUE(search.replied(daemon_id{"home2"}, queued, {}).empty());
    EXPECT_EQ(search.next_timeout(), time_point{} + std::chrono::seconds(1));
    auto const done =
        search.replied(daemon_id{"home2"}, reply_of("2", true, 0.1F), {});
    ASSERT_EQ(done.size(), 2U);
    EXPECT_EQ(
        std::get<send_release>(done[0]).message.replica, endpoint_id{"1"});
    EXPECT_EQ(std::get<stream_placed>(done[1]).replica, endpoint_id{"2"});
}

TEST(placement, releases_queued_offers_after_the_wait)
{
    auto search = placement::create({}, 1).value();
    auto waiting = offer;
    waiting.wait_ms = 1'000;
    search.begin(waiting, {example_candidate("1", "home1")}, {});
    auto queued = reply_of("1", false, 0);
    queued.queued = true;
    search.replied(daemon_id{"home1"}, queued, {});
    auto const done = search.tick(search.next_timeout().value());
    ASSERT_EQ(done.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<send_release>(done[0]));
    EXPECT_TRUE(std::holds_alternative<stream_not_placed>(done[1]));
}

TEST(placement, places_without_reservation_when_no_home_is_known)
{
    auto search = placement::create({}, 1).value();
    auto const done = search.begin(offer, {example_candidate("1", "")}, {});
    ASSERT_EQ(done.size(), 1U);
    auto const& placed = std::get<stream_placed>(done[0]);
    EXPECT_EQ(placed.replica, endpoint_id{"1"});
    EXPECT_TRUE(placed.home.empty());
}

TEST(placement, ejected_replicas_are_left_out_unless_all_are)
{
    auto search = placement::create({}, 1).value();
    auto candidates = two_candidates();
    candidates[0].ejected = true;
    auto const asked = search.begin(offer, candidates, {});
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_EQ(
        std::get<send_reserve>(asked[0]).message.replica, endpoint_id{"2"});
    candidates[1].ejected = true;
    auto all = placement::create({}, 1).value();
    EXPECT_EQ(all.begin(offer, candidates, {}).size(), 2U);
}

} // namespace
} // namespace sapphirereel
