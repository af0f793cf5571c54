// A stream of a resumable route whose replica is lost goes on at another one
// within the same response, and never looks complete with an event missing.
#include "support/relay/scripted_engine.hpp"

#include <gtest/gtest.h>
#include <set>

namespace sapphirereel::relay::test {
namespace {

auto const long_generation = http::field_list{
    {"X-Sapphirereel-Token-Count", "1000,2000"},
    {"X-Sapphirereel-Length-Hint", "2000"}};

TEST(lost_stream, continues_after_the_last_whole_event)
{
    auto with = scripted_world{
        {cut(events(1, 3) + "id: 4\nda"), complete(events(4, 5))}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(1, 5));
    // The signature belongs to the head of the first run.
    EXPECT_EQ(http::find(answer->head.fields, "Run"), "0");
    ASSERT_EQ(with.engine.requests.size(), 2U);
    EXPECT_NE(with.engine.served_by[0], with.engine.served_by[1]);
    EXPECT_EQ(with.engine.field_of(0, "Last-Event-Id"), "");
    EXPECT_EQ(with.engine.field_of(1, "Last-Event-Id"), "3");
    EXPECT_EQ(with.engine.field_of(1, "Kv-From"), "");
    EXPECT_EQ(
        with.world.node().state().metrics.value(relay_counter::streams_resumed),
        1U);
}

TEST(lost_stream, continues_if_its_response_ends_within_an_event)
{
    auto with = scripted_world{
        {complete(events(1, 2) + "id: 3\nda"), complete(events(3, 3))}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(1, 3));
}

TEST(lost_stream, repeats_no_event_if_the_next_replica_begins_with_the_first)
{
    auto with = scripted_world{{cut(events(1, 3)), complete(events(1, 5))}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(1, 5));
}

TEST(lost_stream, without_an_event_is_sent_again)
{
    auto with = scripted_world{{cut(""), complete(events(1, 2))}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(1, 2));
    EXPECT_EQ(with.engine.field_of(1, "Last-Event-Id"), "");
}

// The last event may arrive before the loss; then nothing is left to send.
TEST(lost_stream, after_its_last_event_is_completed_by_a_run_without_events)
{
    auto with = scripted_world{{cut(events(1, 2)), complete("")}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(1, 2));
}

TEST(lost_stream, is_aborted_after_the_attempts_of_its_route)
{
    auto with = scripted_world{
        {cut(events(1, 1)), cut(events(2, 2)), cut(events(3, 3))}};
    EXPECT_FALSE(with.request("/resumable/a"));
    ASSERT_EQ(with.engine.requests.size(), 3U);
    EXPECT_EQ(with.engine.field_of(2, "Last-Event-Id"), "2");
    auto const used = std::set<std::size_t>{
        with.engine.served_by.begin(), with.engine.served_by.end()};
    EXPECT_EQ(used.size(), 3U);
    EXPECT_TRUE(with.world.logged("stream lost"));
}

// A full replica that rejects the rest of a stream must not end it.
TEST(lost_stream, goes_on_past_a_replica_that_rejects_it)
{
    auto with = scripted_world{
        {cut(events(1, 1)), failure(421, ""), complete(events(2, 2))}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(1, 2));
    EXPECT_EQ(with.engine.field_of(2, "Last-Event-Id"), "1");
}

// A stream with a missing event must not look complete.
TEST(lost_stream, is_aborted_if_the_next_run_begins_after_a_gap)
{
    auto with = scripted_world{{cut(events(1, 2)), complete(events(4, 5))}};
    EXPECT_FALSE(with.request("/resumable/a"));
    EXPECT_EQ(with.engine.requests.size(), 2U);
    EXPECT_TRUE(with.world.logged("an event is missing"));
}

// Nothing shows whether the caller has such an event already.
TEST(lost_stream, is_aborted_if_the_next_run_numbers_no_event)
{
    auto with = scripted_world{{cut(events(1, 2)), complete("data: x\n\n")}};
    EXPECT_FALSE(with.request("/resumable/a"));
    EXPECT_EQ(with.engine.requests.size(), 2U);
}

TEST(lost_stream, is_aborted_if_the_next_replica_answers_with_a_refusal)
{
    auto with = scripted_world{{cut(events(1, 2)), failure(404, "unknown")}};
    EXPECT_FALSE(with.request("/resumable/a"));
    EXPECT_EQ(with.engine.requests.size(), 2U);
}

// A copy saves reading the prompt again, so it is tried first.
TEST(lost_stream, with_a_backup_is_sent_again_only_if_that_is_not_taken)
{
    auto with = scripted_world{
        {cut(events(1, 2)), failure(404, "no copy"), complete(events(3, 4))}};
    ASSERT_TRUE(with.world.start());
    auto const answer =
        with.world.send_request("GET", "/resumable/a", long_generation);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, events(1, 4));
    EXPECT_NE(with.engine.field_of(1, "Kv-From"), "");
    EXPECT_EQ(with.engine.field_of(2, "Kv-From"), "");
    EXPECT_EQ(with.engine.field_of(2, "Last-Event-Id"), "2");
}

TEST(failed_stream, is_tried_at_another_replica)
{
    auto with = scripted_world{{failure(500, "first"), complete(events(1, 2))}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 200);
    EXPECT_EQ(answer->body, events(1, 2));
}

TEST(failed_stream, ends_with_the_last_failure)
{
    auto with = scripted_world{
        {failure(500, "first"), failure(500, "second"), failure(507, "third")}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 507);
    EXPECT_EQ(answer->body, "third");
    EXPECT_EQ(with.engine.requests.size(), 3U);
}

TEST(failed_stream, ends_with_a_failure_if_the_next_replica_is_lost)
{
    auto with = scripted_world{{failure(500, "first"), cut(""), cut("")}};
    auto const answer = with.request("/resumable/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 500);
    EXPECT_EQ(answer->body, "first");
}

// Streams of other routes may run only once, however they end.
TEST(stream_that_runs_once, is_never_sent_again)
{
    for (auto const& end :
         {cut(""), cut(events(1, 2)), complete(events(1, 2) + "id: 3\nda"),
          failure(500, "failed")})
    {
        auto with = scripted_world{{end, complete(events(1, 5))}};
        auto const answer = with.request("/stream/a");
        EXPECT_NE(answer ? answer->head.status : 0, 200);
        EXPECT_EQ(with.engine.requests.size(), 1U);
    }
}

} // namespace
} // namespace sapphirereel::relay::test
