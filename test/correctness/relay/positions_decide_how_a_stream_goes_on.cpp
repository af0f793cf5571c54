#include "sapphirereel/relay/stream_position.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

auto numbered(std::uint64_t number) -> raw_event
{
    return {"data: x\n\n", number};
}

TEST(stream_position, is_read_from_decimal_digits_alone)
{
    EXPECT_EQ(read_position("0"), 0U);
    EXPECT_EQ(read_position("007"), 7U);
    EXPECT_EQ(read_position("18446744073709551615"), UINT64_MAX);
    for (auto const* const text :
         {"", " 1", "1 ", "-1", "+1", "1,2", "0x1", "1.5", "abc",
          "18446744073709551616"})
    {
        EXPECT_FALSE(read_position(text)) << text;
    }
}

// A stream that may run only once must never be sent again.
TEST(cut_stream, is_sent_again_only_where_its_route_permits_it)
{
    EXPECT_EQ(
        next_position({false, 1, 5, true, 3}).error(),
        resume_obstacle::runs_once);
    EXPECT_EQ(next_position({true, 1, 2, true, 3}).value(), 3U);
    EXPECT_EQ(
        next_position({true, 2, 2, true, 3}).error(),
        resume_obstacle::no_attempt);
}

TEST(cut_stream, without_an_event_begins_again_where_the_caller_said)
{
    auto const from_start = next_position({true, 1, 2, false, {}});
    ASSERT_TRUE(from_start);
    EXPECT_FALSE(*from_start);
    EXPECT_EQ(next_position({true, 1, 2, false, 9}).value(), 9U);
}

// Without a number nothing tells a replica what the caller already has.
TEST(cut_stream, after_an_event_without_number_is_not_sent_again)
{
    EXPECT_EQ(
        next_position({true, 1, 2, true, {}}).error(),
        resume_obstacle::no_position);
}

TEST(run_after_a_position, begins_with_the_event_after_it)
{
    auto const events = event_sequence{5};
    EXPECT_FALSE(events.has_begun());
    EXPECT_EQ(action_for(events, numbered(6), true), block_action::forward);
    EXPECT_EQ(action_for(events, numbered(5), true), block_action::drop);
    EXPECT_EQ(action_for(events, numbered(1), true), block_action::drop);
    EXPECT_EQ(
        action_for(events, numbered(7), true), block_action::abort_after_gap);
}

// A replica may ignore the position and send from the beginning, also events
// that it does not number.
TEST(run_after_a_position, must_number_its_first_event)
{
    auto events = event_sequence{5};
    auto const unnumbered = raw_event{"data: x\n\n", std::nullopt};
    EXPECT_EQ(
        action_for(events, unnumbered, true), block_action::abort_unnumbered);
    events.record_forwarded(6, duration{1});
    EXPECT_EQ(action_for(events, unnumbered, true), block_action::forward);
    events.record_forwarded(std::nullopt, duration{2});
    // The caller's position holds on.
    EXPECT_EQ(action_for(events, numbered(5), true), block_action::drop);
    events.record_forwarded(7, duration{3});
    events.begin_run();
    EXPECT_EQ(
        action_for(events, unnumbered, true), block_action::abort_unnumbered);
}

TEST(comment, is_no_event)
{
    auto events = event_sequence{5};
    auto const comment = raw_event{": waiting\n\n", std::nullopt};
    EXPECT_EQ(action_for(events, comment, true), block_action::drop);
    events.record_forwarded(6, duration{1});
    EXPECT_EQ(action_for(events, comment, true), block_action::pass_on);
    // On other routes it is passed on as before.
    EXPECT_EQ(
        action_for(event_sequence{}, comment, false), block_action::forward);
}

// A caller may state any position; the memory counted for it must stay bounded.
TEST(stream_position, counts_no_more_output_than_the_request_permits)
{
    auto request = caller_request{};
    request.last_event = 10;
    EXPECT_EQ(preceding_tokens(request, 4), 0);
    request.generation = generation_size{100, 60, std::nullopt};
    EXPECT_EQ(preceding_tokens(request, 4), 40);
    request.last_event = UINT64_MAX;
    EXPECT_EQ(preceding_tokens(request, 4), 60);
}

} // namespace
} // namespace sapphirereel::relay
