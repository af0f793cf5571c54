#include "sapphirereel/relay/room_wait.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto const model = service_name{"model"};
constexpr auto usual_limit = duration{seconds{5}};
constexpr auto small = room_need{2'500, 2'200};

auto stream_route(int priority, duration target_latency, duration timeout)
    -> route
{
    auto made = route{};
    made.name = "route" + std::to_string(priority);
    made.kind = request_kind::stream;
    made.priority = priority;
    made.target_latency = target_latency;
    made.timeout = timeout;
    made.services = {{model, 1}};
    return made;
}

/// A daemon with one replica of a model service, without sockets.
class room_waits : public testing::Test
{
protected:
    room_waits()
    {
        auto configuration = routing_configuration{};
        configuration.routes = {
            stream_route(0, milliseconds{1'500}, seconds{6}),
            stream_route(2, seconds{4}, seconds{39})};
        configuration.services = {{model, 8, engine_traits{60'000, 1, 1}}};
        table = std::make_shared<routing_table const>(configuration);
        auto listed = replica{};
        listed.id = endpoint_id{"a"};
        listed.service = model;
        state.replicas.set_replicas({listed});
    }

    auto request(int priority) -> std::unique_ptr<exchange>
    {
        auto const& taken =
            table->configuration().routes.at(priority == 0 ? 0 : 1);
        auto const now = telemetry::monotonic_now();
        return std::make_unique<exchange>(
            state, nullptr, caller_request{},
            grant{table, &taken, std::nullopt, now + taken.timeout, priority});
    }

    asio::io_context loop;
    relay_state state{loop,
                      daemon_id{"d"},
                      zone_name{"z"},
                      {},
                      length_estimator::create({}).value(),
                      1};
    std::shared_ptr<routing_table const> table;
};

// Guards against changed decisions on deployments with one priority, also with
// a queue that can't be served in time.
TEST_F(room_waits, decide_nothing_with_one_priority)
{
    auto const first = request(2);
    auto const second = request(2);
    auto ahead = room_wait{*first, small};
    auto behind = room_wait{*second, {90'000, 9'000}};
    auto const now = second->started_at;
    ahead.record_arrival(now);
    behind.record_arrival(now);
    ahead.hold([] {});
    EXPECT_FALSE(behind.must_wait(now));
    behind.hold([] { FAIL() << "attempted out of its own turn"; });
    EXPECT_FALSE(behind.attempt_in_order(now));
    EXPECT_EQ(behind.reserved_share(now), 0);
    EXPECT_EQ(behind.longest_wait(usual_limit, now), usual_limit);
    EXPECT_FALSE(behind.expected_wait(now));
    EXPECT_FALSE(behind.futile_wait(now));
}

TEST_F(room_waits, less_urgent_streams_yield_for_half_their_target)
{
    auto const urgent = request(0);
    auto const later = request(2);
    auto first = room_wait{*urgent, small};
    auto second = room_wait{*later, small};
    auto const now = later->started_at;
    first.record_arrival(now);
    second.record_arrival(now);
    EXPECT_FALSE(second.must_wait(now));
    EXPECT_GT(second.reserved_share(now), 0);
    EXPECT_EQ(first.reserved_share(now), 0);
    auto attempts = 0;
    first.hold([&] { ++attempts; });
    EXPECT_TRUE(second.must_wait(now));
    EXPECT_FALSE(first.must_wait(now));
    second.hold([&] { ++attempts; });
    EXPECT_TRUE(second.must_wait(now + milliseconds{1'900}));
    EXPECT_FALSE(second.must_wait(now + milliseconds{2'000}));
    EXPECT_TRUE(second.attempt_in_order(now));
    EXPECT_EQ(attempts, 2);
    EXPECT_EQ(second.longest_wait(usual_limit, now), duration{seconds{12}});
    first.record_sent(now);
    EXPECT_FALSE(second.must_wait(now));
    EXPECT_EQ(state.metrics.value(relay_counter::streams_yielded), 1U);
    EXPECT_EQ(state.metrics.value(relay_counter::streams_held), 2U);
}

// Guards against streams that wait although they can't be served, and against
// refusals of those that can.
TEST_F(room_waits, only_streams_that_cannot_start_are_futile)
{
    auto const urgent = request(0);
    auto const later = request(2);
    auto first = room_wait{*urgent, {3'000, 2'200}};
    auto huge = room_wait{*later, {40'000, 2'200}};
    auto const start = later->started_at;
    first.record_arrival(start);
    huge.record_arrival(start);
    first.hold([] {});
    first.record_no_room(start);
    EXPECT_FALSE(huge.futile_wait(start));
    for (auto tenth = 1; tenth <= 10; ++tenth)
    {
        auto const now = start + milliseconds{100 * tenth};
        state.room_found.record_full(model, now);
        state.room_found.record_sent(model, 200, now);
    }
    // 2,000 tokens in a second: 1.5 s for the first, 21.5 s for the second.
    auto const now = start + seconds{1};
    EXPECT_FALSE(first.futile_wait(now));
    EXPECT_EQ(huge.futile_wait(now), milliseconds{21'500});
    later->runs = 1;
    EXPECT_FALSE(huge.futile_wait(now));
}

} // namespace
} // namespace sapphirereel::relay
