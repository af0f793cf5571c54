#include "sapphirereel/relay/dispatch_policy.hpp"
#include "sapphirereel/relay/room_policy.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto const model = service_name{"model"};
/// 73 daemons and 44 replicas, as on the deployment with competing callers.
constexpr auto fleet = room_supply{73, 44, 60'000};
constexpr auto urgent = room_demand{0, 2'220, milliseconds{1'500}};
constexpr auto less_urgent = room_demand{2, 3'700, seconds{4}};

auto at(milliseconds since_start) -> time_point
{
    return time_point{seconds{100}} + since_start;
}

/// A burst of less urgent streams among a few urgent ones.
auto burst() -> room_policy
{
    auto policy = room_policy{};
    for (auto moment = 0; moment < 50; ++moment)
    {
        auto const now = at(milliseconds{100 * moment});
        policy.record_arrival(model, less_urgent, now);
        if (moment % 10 == 0)
        {
            policy.record_arrival(model, urgent, now);
        }
    }
    return policy;
}

// Guards against a burst of long streams that takes all room, so that urgent
// ones start late.
TEST(room_policy, a_burst_leaves_room_for_urgent_streams)
{
    auto const now = at(seconds{5});
    auto const reserved = burst().reserved_share(model, 2, fleet, now);
    // 5 x 2,220 tokens in 10 s at each of 73 daemons, for 1.5 s.
    EXPECT_NEAR(reserved, 0.1 * 5 * 2'220 * 1.5 * 73 / 44 / 60'000, 1e-6);
    EXPECT_EQ(burst().reserved_share(model, 0, fleet, now), 0);
    auto nearly_full =
        dispatch_estimate{duration{0}, seconds{4}, milliseconds{300}, 0.99};
    EXPECT_TRUE(should_dispatch(nearly_full));
    nearly_full.reserved_share = reserved;
    EXPECT_FALSE(should_dispatch(nearly_full));
    // The limit rises with the wait, so that the stream does not starve.
    nearly_full.waited = milliseconds{1'600};
    EXPECT_TRUE(should_dispatch(nearly_full));
}

TEST(room_policy, the_reserved_share_is_bounded)
{
    auto policy = room_policy{};
    for (auto count = 0; count < 10'000; ++count)
    {
        policy.record_arrival(model, urgent, at(milliseconds{count}));
    }
    EXPECT_EQ(
        policy.reserved_share(model, 2, fleet, at(seconds{10})),
        max_reserved_share);
    EXPECT_EQ(
        policy.reserved_share(model, 2, {73, 0, 60'000}, at(seconds{10})), 0);
    EXPECT_EQ(policy.reserved_share(model, 2, {73, 44, 0}, at(seconds{10})), 0);
}

TEST(room_policy, demand_is_forgotten_after_the_window)
{
    auto const policy = burst();
    auto const later = at(seconds{15});
    EXPECT_EQ(policy.reserved_share(model, 2, fleet, later), 0);
    EXPECT_TRUE(policy.has_several_priorities(model, at(seconds{5})));
    EXPECT_FALSE(policy.has_several_priorities(model, later));
}

TEST(room_policy, priorities_come_from_routes_and_customers)
{
    auto stream = route{};
    stream.kind = request_kind::stream;
    stream.services = {{model, 1}};
    auto urgent_call = stream;
    urgent_call.kind = request_kind::idempotent;
    urgent_call.priority = 1;
    auto configuration = routing_configuration{};
    configuration.routes = {stream, urgent_call};
    EXPECT_FALSE(allows_several_priorities(configuration, model));
    configuration.customers = {{customer_id{"a"}, {"key"}, 3}};
    EXPECT_TRUE(allows_several_priorities(configuration, model));
    configuration.customers.reset();
    stream.priority = 2;
    configuration.routes.push_back(stream);
    EXPECT_TRUE(allows_several_priorities(configuration, model));
    EXPECT_FALSE(
        allows_several_priorities(configuration, service_name{"other"}));
}

} // namespace
} // namespace sapphirereel::relay
