// Callers reconnected with the number of the last event and got the stream
// again from the first one. They must see each event once and in order.
#include "support/relay/scripted_engine.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto position(std::string value) -> http::field_list
{
    return {{"Last-Event-Id", std::move(value)}};
}

TEST(resuming_caller, gets_only_the_events_after_its_position)
{
    auto with = scripted_world{{complete(events(4, 5))}};
    auto const answer = with.request("/resumable/a", position("3"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 200);
    EXPECT_EQ(answer->body, events(4, 5));
    EXPECT_EQ(with.engine.field_of(0, "Last-Event-Id"), "3");
    EXPECT_EQ(http::count(with.engine.requests[0].fields, "Last-Event-Id"), 1U);
}

// A replica that knows no positions begins with the first event.
TEST(resuming_caller, sees_no_event_again_if_the_replica_ignores_the_position)
{
    auto with = scripted_world{{complete(events(1, 5))}};
    auto const answer = with.request("/resumable/a", position("3"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(4, 5));
}

// A run that begins further on would hide that an event is missing.
TEST(resuming_caller, gets_an_error_if_an_event_is_missing)
{
    auto with = scripted_world{{complete(events(7, 9))}};
    auto const answer = with.request("/resumable/a", position("3"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
    EXPECT_EQ(with.engine.requests.size(), 1U);
}

TEST(resuming_caller, keeps_its_position_when_the_replica_is_lost_at_once)
{
    auto with = scripted_world{{cut(""), complete(events(4, 5))}};
    auto const answer = with.request("/resumable/a", position("3"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(4, 5));
    EXPECT_EQ(with.engine.field_of(1, "Last-Event-Id"), "3");
}

// Only the replica knows where the stream ends.
TEST(resuming_caller, beyond_the_end_gets_a_complete_stream_without_events)
{
    auto with = scripted_world{{complete("")}};
    auto const answer = with.request("/resumable/a", position("900"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 200);
    EXPECT_EQ(answer->body, "");
    EXPECT_EQ(with.engine.requests.size(), 1U);
}

TEST(resuming_caller, with_an_unreadable_position_is_told_so)
{
    auto with = scripted_world{{complete(events(1, 2))}};
    auto const answer = with.request("/resumable/a", position("abc"));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 400);
    EXPECT_EQ(
        answer->body,
        "Last-Event-Id is written as 'abc'; send the number of the last event "
        "received in decimal digits, or no such field to begin with the first "
        "event");
    EXPECT_TRUE(with.engine.requests.empty());
}

TEST(resuming_caller, with_two_positions_is_told_so)
{
    auto with = scripted_world{{complete(events(1, 2))}};
    auto const answer = with.request(
        "/resumable/a", {{"Last-Event-Id", "3"}, {"last-event-id", "3"}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 400);
    EXPECT_NE(answer->body.find("more than once"), std::string::npos);
    EXPECT_TRUE(with.engine.requests.empty());
}

// Routes without the flag serve requests as before, whatever the field says.
TEST(position, is_dropped_on_routes_that_do_not_resume)
{
    for (auto const* const value : {"3", "abc"})
    {
        auto with = scripted_world{{complete(events(1, 5))}};
        auto const answer = with.request("/stream/a", position(value));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 200);
        EXPECT_EQ(answer->body, events(1, 5));
        EXPECT_EQ(with.engine.field_of(0, "Last-Event-Id"), "");
    }
}

} // namespace
} // namespace sapphirereel::relay::test
