// A run whose replica left the order to stop it without an answer went on at
// another replica, while the first one worked on it (TWICE). That the order's
// connection was established shows that the replica is within reach.
#include "support/relay/working_engine.hpp"

#include <gtest/gtest.h>
#include <ostream>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

/// Time for which two replicas may work on a request.
constexpr auto max_overlap = duration{milliseconds{400}};

/// Time of an event with which a run outlasts the question for its end.
constexpr auto slow_event = duration{milliseconds{50}};

/// Callers leave a stream after a pause of two seconds.
constexpr auto patience_of_callers = duration{milliseconds{2'000}};

/// A relay before three replicas of which the first run breaks off and is
/// worked on.
class silent_world
{
public:
    explicit silent_world(order_taking orders)
        : engine(world, 3)
    {
        world.configure(1);
        engine.break_within = 4;
        engine.event_time = slow_event;
        engine.orders = orders;
    }

    /// Whether a stream arrives whole.
    auto is_served() -> bool
    {
        EXPECT_TRUE(world.start());
        auto const answer = world.send_request(
            "GET", "/stream/a", {{"X-Sapphirereel-Token-Count", "10,400"}});
        auto const is_whole = answer && answer->head.status == 200;
        world.loop.run_for(slow_event * events_of_run);
        world.loop.restart();
        return is_whole;
    }

    [[nodiscard]] auto counted(relay_counter which) -> std::uint64_t
    {
        return world.node().state().metrics.value(which);
    }

    [[nodiscard]] auto overlap() const -> duration
    {
        return engine.longest_overlap(telemetry::monotonic_now());
    }

    relay_fixture world;
    working_engine engine;
};

TEST(silent_order, is_no_end_of_a_run_that_its_replica_names)
{
    auto with = silent_world{order_taking::silent};
    EXPECT_FALSE(with.is_served());
    EXPECT_EQ(with.engine.runs.size(), 1U);
    EXPECT_EQ(with.counted(relay_counter::lost_runs_unknown), 1U);
    EXPECT_GE(with.engine.reports_asked, 2U);
    EXPECT_GE(with.engine.orders_taken, 2U);
}

TEST(silent_order, is_no_end_where_the_replica_reports_no_runs)
{
    auto with = silent_world{order_taking::silent};
    with.engine.reports = report_taking::unknown;
    EXPECT_FALSE(with.is_served());
    EXPECT_EQ(with.engine.runs.size(), 1U);
}

TEST(silent_order, is_no_end_where_the_replica_reports_nothing)
{
    auto with = silent_world{order_taking::silent};
    with.engine.reports = report_taking::silent;
    EXPECT_FALSE(with.is_served());
    EXPECT_EQ(with.engine.runs.size(), 1U);
}

// A preempted run waits, and is not among the running ones.
TEST(silent_order, is_no_end_where_requests_wait_at_the_replica)
{
    auto with = silent_world{order_taking::silent};
    with.engine.works_on = false;
    with.engine.waiting = 1;
    EXPECT_FALSE(with.is_served());
    EXPECT_EQ(with.engine.runs.size(), 1U);
}

TEST(silent_order, is_followed_by_the_run_where_the_replica_has_it_no_more)
{
    auto with = silent_world{order_taking::silent};
    with.engine.works_on = false;
    EXPECT_TRUE(with.is_served());
    ASSERT_EQ(with.engine.runs.size(), 2U);
    EXPECT_LT(
        with.engine.runs[1].began - *with.engine.runs[0].ended,
        patience_of_callers);
}

TEST(silent_order, is_given_again)
{
    auto with = silent_world{order_taking::silent_once};
    EXPECT_TRUE(with.is_served());
    EXPECT_EQ(with.engine.runs.size(), 2U);
    EXPECT_LT(with.overlap(), max_overlap);
    EXPECT_EQ(with.counted(relay_counter::lost_runs_stopped), 1U);
}

/// A way to take orders that does not end the run, and its name in the test's.
struct unhelpful_taking
{
    order_taking how;
    std::string name;

    friend auto operator<<(std::ostream& to, unhelpful_taking const& which)
        -> std::ostream&
    {
        return to << which.name;
    }
};

class unhelpful_orders : public testing::TestWithParam<unhelpful_taking>
{};

TEST_P(unhelpful_orders, let_no_two_replicas_work_on_a_run)
{
    auto with = silent_world{GetParam().how};
    EXPECT_FALSE(with.is_served());
    EXPECT_EQ(with.engine.runs.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    of_each_kind,
    unhelpful_orders,
    testing::Values(
        unhelpful_taking{order_taking::late, "late"},
        unhelpful_taking{order_taking::refused, "refused"},
        unhelpful_taking{order_taking::closed, "closed"},
        unhelpful_taking{order_taking::unknown_order, "unknown"},
        unhelpful_taking{order_taking::broken_answer, "broken"}),
    [](auto const& each) { return each.param.name; });

constexpr auto began = time_point{std::chrono::seconds{9}};
constexpr auto asked_at = began + milliseconds{400};
constexpr auto at_end = began + max_time_to_stop_lost_run;

auto inquiry_into(time_point sent_at) -> lost_run_inquiry
{
    return lost_run_inquiry{began, {"a", sent_at}};
}

/// An order over an established connection that is not answered.
auto silent() -> migration_result
{
    return {{}, call_failure{call_stage::waiting, "no answer in time"}};
}

TEST(lost_run_report, ends_a_run_that_it_does_not_name)
{
    auto inquiry = inquiry_into(began - std::chrono::seconds{3});
    EXPECT_EQ(
        inquiry.record(run_report{{"b"}, 0}, asked_at, asked_at),
        lost_run_end::gone);
}

TEST(lost_run_report, ends_no_run_that_it_names_or_that_may_wait)
{
    auto inquiry = inquiry_into(began - std::chrono::seconds{3});
    EXPECT_FALSE(inquiry.record(run_report{{"a"}, 0}, asked_at, asked_at));
    EXPECT_FALSE(inquiry.record(run_report{{"b"}, 1}, asked_at, asked_at));
    EXPECT_EQ(inquiry.record(silent(), at_end), lost_run_end::unknown);
}

// Reports are some hundred ms old, and may be older than the run.
TEST(lost_run_report, ends_no_run_that_has_just_begun)
{
    auto inquiry = inquiry_into(asked_at - milliseconds{700});
    EXPECT_FALSE(inquiry.record(run_report{{}, 0}, asked_at, asked_at));
}

TEST(lost_run_report, that_can_not_be_asked_for_twice_ends_a_run)
{
    auto inquiry = inquiry_into(began);
    auto const unconnected =
        tl::unexpected{call_failure{call_stage::connecting, "timed out"}};
    EXPECT_FALSE(inquiry.record(unconnected, asked_at, asked_at));
    EXPECT_EQ(
        inquiry.record(unconnected, asked_at, asked_at), lost_run_end::gone);
}

} // namespace
} // namespace sapphirereel::relay::test
