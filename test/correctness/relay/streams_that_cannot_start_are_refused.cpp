#include "sapphirereel/relay/held_streams.hpp"
#include "sapphirereel/relay/room_forecast.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto const model = service_name{"model"};
constexpr auto start = time_point{seconds{100}};
constexpr auto usual_hold = duration{seconds{5}};
constexpr auto urgent_terms =
    caller_terms{seconds{6}, milliseconds{1'500}, milliseconds{200}};
constexpr auto long_terms =
    caller_terms{seconds{39}, seconds{4}, milliseconds{180}};

/// A queue of 2 s in which so many streams of 1,000 tokens were sent.
auto queue_with(int streams) -> room_forecast
{
    auto forecast = room_forecast{};
    for (auto moment = 0; moment <= 40; ++moment)
    {
        forecast.record_full(model, start + milliseconds{50 * moment});
    }
    for (auto count = 0; count < streams; ++count)
    {
        forecast.record_sent(model, 1'000, start + seconds{2});
    }
    return forecast;
}

TEST(room_forecast, expects_the_rate_of_the_queue)
{
    auto const now = start + seconds{2};
    auto const forecast = queue_with(4);
    // 4,000 tokens in 2 s.
    EXPECT_EQ(forecast.expected_wait(model, 6'000, now), seconds{3});
    EXPECT_FALSE(forecast.expected_wait(service_name{"other"}, 1, now));
}

// Guards against refusals where nothing is known about the room.
TEST(room_forecast, is_unknown_until_streams_found_room)
{
    EXPECT_FALSE(queue_with(2).expected_wait(model, 1, start + seconds{2}));
    EXPECT_FALSE(queue_with(4).expected_wait(model, 1, start));
    auto without_queue = room_forecast{};
    without_queue.record_sent(model, 1'000, start);
    EXPECT_FALSE(without_queue.expected_wait(model, 1, start + seconds{2}));
    // Streams that were sent without a queue show the arrivals, not the room.
    auto ended = queue_with(4);
    ended.record_sent(model, 90'000, start + seconds{3});
    EXPECT_EQ(
        ended.expected_wait(model, 4'000, start + seconds{2}), seconds{2});
    ended.record_full(model, start + seconds{4});
    EXPECT_FALSE(ended.expected_wait(model, 1, start + seconds{6}));
}

// Guards against refusals by a queue that has ended, while replicas have room.
TEST(room_forecast, is_unknown_when_the_queue_has_ended)
{
    auto const forecast = queue_with(4);
    EXPECT_TRUE(forecast.expected_wait(model, 1, start + milliseconds{2'500}));
    EXPECT_FALSE(forecast.expected_wait(model, 1, start + milliseconds{2'501}));
}

TEST(room_forecast, callers_wait_for_multiples_of_their_targets)
{
    EXPECT_EQ(latest_useful_start(urgent_terms), seconds{6});
    EXPECT_EQ(latest_useful_start(long_terms), seconds{16});
    EXPECT_EQ(
        latest_useful_start(
            {seconds{39}, milliseconds{100}, milliseconds{100}}),
        seconds{2});
    EXPECT_EQ(
        latest_useful_start(
            {seconds{39}, milliseconds{100}, milliseconds{500}}),
        seconds{4});
}

TEST(room_forecast, no_stream_is_held_for_less_than_the_usual_limit)
{
    EXPECT_EQ(longest_hold(urgent_terms, usual_hold), usual_hold);
    EXPECT_EQ(longest_hold(long_terms, usual_hold), seconds{12});
}

// Guards against the refusal of a late stream that its caller still wants.
TEST(room_forecast, late_streams_start_if_their_callers_still_wait)
{
    EXPECT_TRUE(starts_for_its_caller(
        {seconds{5}, seconds{10}, seconds{1}}, long_terms));
    EXPECT_FALSE(starts_for_its_caller(
        {seconds{5}, seconds{11}, seconds{1}}, long_terms));
    EXPECT_FALSE(starts_for_its_caller(
        {seconds{0}, seconds{6}, milliseconds{300}}, urgent_terms));
}

// Guards against callers that all return at once.
TEST(room_forecast, the_more_urgent_return_earlier)
{
    auto held = held_streams{};
    auto const urgent = held_stream{model, 0, start, 8'000};
    auto const less_urgent = held_stream{model, 2, start, 8'000};
    held.hold(urgent, [] {});
    held.hold(less_urgent, [] {});
    auto const now = start + seconds{2};
    auto const forecast = queue_with(4);
    auto const wait_of = [&](held_stream const& which) {
        return forecast.expected_wait(
            model, held.tokens_until(which, now), now);
    };
    EXPECT_EQ(wait_of(urgent), seconds{4});
    EXPECT_EQ(wait_of(less_urgent), seconds{8});
}

} // namespace
} // namespace sapphirereel::relay
