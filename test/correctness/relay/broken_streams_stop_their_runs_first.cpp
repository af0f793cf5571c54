// A stream that its replica broke off went on at another replica while the
// first still worked on it (TWICE). The first is ordered to stop the run, which
// also shows whether it has it, before the run goes on elsewhere.
#include "support/relay/working_engine.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

/// Time for which two replicas may work on a request.
constexpr auto max_overlap = duration{milliseconds{400}};

/// A relay before three replicas of which the first run breaks off.
class breaking_world
{
public:
    breaking_world()
        : engine(world, 3)
    {
        world.configure(1);
        engine.break_within = events_of_run / 3;
    }

    /// The body of a stream's response; nothing if it is not whole.
    auto stream(std::string const& target = "/stream/a")
        -> std::optional<std::string>
    {
        EXPECT_TRUE(world.start());
        auto const answer = world.send_request(
            "GET", target, {{"X-Sapphirereel-Token-Count", "10,400"}});
        // The runs that work on end by themselves.
        world.loop.run_for(time_of_event * events_of_run);
        world.loop.restart();
        return answer && answer->head.status == 200
                   ? std::optional{answer->body}
                   : std::nullopt;
    }

    [[nodiscard]] auto overlap() const -> duration
    {
        return engine.longest_overlap(telemetry::monotonic_now());
    }

    relay_fixture world;
    working_engine engine;
};

auto whole_stream() -> std::string
{
    auto text = std::string{};
    for (auto number = 1; number <= events_of_run; ++number)
    {
        text += fmt::format("id: {}\ndata: e{}\n\n", number, number);
    }
    return text;
}

TEST(broken_stream, goes_on_when_its_replica_has_stopped_the_run)
{
    auto with = breaking_world{};
    EXPECT_EQ(with.stream(), whole_stream());
    EXPECT_EQ(with.engine.runs.size(), 2U);
    EXPECT_LT(with.overlap(), milliseconds{50});
    EXPECT_EQ(
        with.world.node().state().metrics.value(
            relay_counter::lost_runs_stopped),
        1U);
}

TEST(broken_stream, goes_on_at_once_when_its_replica_has_no_such_run)
{
    auto with = breaking_world{};
    with.engine.works_on = false;
    EXPECT_EQ(with.stream(), whole_stream());
    ASSERT_EQ(with.engine.runs.size(), 2U);
    EXPECT_EQ(with.engine.orders_taken, 1U);
    EXPECT_LT(
        with.engine.runs[1].began - *with.engine.runs[0].ended,
        milliseconds{100});
}

TEST(broken_stream, goes_on_at_once_when_its_replica_has_crashed)
{
    auto with = breaking_world{};
    with.engine.crashes = true;
    EXPECT_EQ(with.stream(), whole_stream());
    ASSERT_EQ(with.engine.runs.size(), 2U);
    EXPECT_LT(
        with.engine.runs[1].began - *with.engine.runs[0].ended,
        milliseconds{100});
}

TEST(broken_stream, ends_when_its_replica_does_not_tell)
{
    auto with = breaking_world{};
    with.engine.orders = order_taking::unknown_order;
    EXPECT_FALSE(with.stream());
    EXPECT_EQ(with.engine.runs.size(), 1U);
    EXPECT_EQ(
        with.world.node().state().metrics.value(
            relay_counter::lost_runs_unknown),
        1U);
}

// A broken answer says nothing of the run, but that its replica is there.
TEST(broken_stream, ends_when_its_replicas_answers_are_broken)
{
    auto with = breaking_world{};
    with.engine.orders = order_taking::broken_answer;
    EXPECT_FALSE(with.stream());
    EXPECT_EQ(with.engine.runs.size(), 1U);
}

TEST(broken_stream, goes_on_when_its_replica_answers_nothing)
{
    auto with = breaking_world{};
    with.engine.works_on = false;
    with.engine.orders = order_taking::silent;
    EXPECT_EQ(with.stream(), whole_stream());
    ASSERT_EQ(with.engine.runs.size(), 2U);
    // Callers leave after a pause of two seconds.
    EXPECT_LT(
        with.engine.runs[1].began - *with.engine.runs[0].ended,
        milliseconds{2'000});
}

TEST(broken_stream, is_asked_about_again_after_a_lost_connection)
{
    auto with = breaking_world{};
    with.engine.orders = order_taking::closed_once;
    EXPECT_EQ(with.stream(), whole_stream());
    EXPECT_EQ(with.engine.orders_taken, 2U);
    EXPECT_LT(with.overlap(), max_overlap);
}

TEST(broken_stream, that_may_run_again_stops_its_run_first)
{
    auto with = breaking_world{};
    EXPECT_EQ(with.stream("/resumable/a"), whole_stream());
    EXPECT_EQ(with.engine.runs.size(), 2U);
    EXPECT_LT(with.overlap(), milliseconds{50});
}

TEST(broken_stream, that_may_run_again_ends_when_its_replica_does_not_tell)
{
    auto with = breaking_world{};
    with.engine.orders = order_taking::unknown_order;
    EXPECT_FALSE(with.stream("/resumable/a"));
    EXPECT_EQ(with.engine.runs.size(), 1U);
}

/// An answer to an order.
auto answered(migration_outcome outcome, std::string handle = {})
    -> migration_result
{
    return {{outcome, std::move(handle), 0}, std::nullopt};
}

auto unconnected(bool is_refused) -> migration_result
{
    return {
        {}, call_failure{call_stage::connecting, "", false, false, is_refused}};
}

constexpr auto began = time_point{std::chrono::seconds{9}};
constexpr auto at_end = began + max_time_to_stop_lost_run;

TEST(lost_run, is_gone_where_no_process_listens_or_no_such_run_exists)
{
    EXPECT_EQ(
        lost_run_inquiry{began}.record(unconnected(true), began),
        lost_run_end::gone);
    EXPECT_EQ(
        lost_run_inquiry{began}.record(
            answered(migration_outcome::unknown_run), began),
        lost_run_end::gone);
}

TEST(lost_run, is_gone_where_two_connections_in_a_row_are_not_established)
{
    auto inquiry = lost_run_inquiry{began};
    EXPECT_FALSE(inquiry.record(unconnected(false), began));
    EXPECT_EQ(inquiry.record(unconnected(false), began), lost_run_end::gone);
}

TEST(lost_run, is_stopped_where_a_handle_says_so)
{
    EXPECT_EQ(
        lost_run_inquiry{began}.record(
            answered(migration_outcome::no_room, "h"), began),
        lost_run_end::stopped);
}

TEST(lost_run, is_unknown_after_answers_that_say_nothing)
{
    auto inquiry = lost_run_inquiry{began};
    EXPECT_FALSE(
        inquiry.record(answered(migration_outcome::in_progress), began));
    EXPECT_EQ(
        inquiry.record(answered(migration_outcome::failed), at_end),
        lost_run_end::unknown);
    EXPECT_EQ(inquiry.time_left(at_end), duration{0});
}

// No permit may be had for a replica that states a rate: that no order was sent
// shows nothing.
TEST(lost_run, of_a_replica_that_was_never_asked_is_unknown)
{
    EXPECT_EQ(
        lost_run_inquiry{began}.outcome_without_answer(),
        lost_run_end::unknown);
}

// The order may be carried out yet: a connection to the replica was made.
TEST(lost_run, of_a_replica_that_never_answered_is_unknown)
{
    auto inquiry = lost_run_inquiry{began};
    auto const silent =
        migration_result{{}, call_failure{call_stage::waiting, "no answer"}};
    EXPECT_EQ(inquiry.record(silent, at_end), lost_run_end::unknown);
}

} // namespace
} // namespace sapphirereel::relay::test
