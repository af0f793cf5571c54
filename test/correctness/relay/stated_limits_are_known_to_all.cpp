// What a replica states about the requests that it takes holds until it states
// something else, at every daemon; messages that arrive late change nothing.
#include "sapphirereel/relay/send_gate.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

auto at(int ms) -> time_point
{
    return time_point{std::chrono::seconds{100}} + milliseconds{ms};
}

auto replica_of(std::string const& id, std::uint64_t started_at_ms = 1'000)
    -> replica
{
    auto made = replica{};
    made.id = endpoint_id{id};
    made.service = service_name{"s"};
    made.slots = 2;
    made.started_at_ms = started_at_ms;
    return made;
}

TEST(stated_limit, is_not_ended_by_an_earlier_response)
{
    auto registry = limit_registry{};
    auto const one = replica_of("one");
    EXPECT_TRUE(registry.record_response(one, {2.0, {}}, at(0), at(10)));
    EXPECT_FALSE(registry.record_response(one, {}, at(5), at(30)));
    EXPECT_TRUE(registry.limits_of(one.id).rate);
    EXPECT_TRUE(registry.record_response(one, {}, at(40), at(50)));
    EXPECT_FALSE(registry.limits_of(one.id).rate);
}

TEST(stated_limit, and_its_end_reach_peers_and_stay)
{
    auto first = limit_registry{};
    auto second = limit_registry{};
    auto const one = replica_of("one");
    first.record_response(one, {2.0, {}}, at(0), at(10));
    auto const old_report = first.entries_to_report(at(20));
    EXPECT_TRUE(second.apply_report(old_report, at(20)));
    EXPECT_EQ(second.limits_of(one.id).rate, 2.0);
    EXPECT_TRUE(second.record_response(one, {}, at(30), at(40)));
    EXPECT_TRUE(first.apply_report(second.entries_to_report(at(50)), at(50)));
    EXPECT_FALSE(first.limits_of(one.id).rate);
    // A report that was delayed does not bring the limit back.
    EXPECT_FALSE(first.apply_report(old_report, at(60)));
    EXPECT_FALSE(first.limits_of(one.id).rate);
}

TEST(stated_limit, ends_with_the_start_of_the_replica_that_stated_it)
{
    auto registry = limit_registry{};
    registry.record_response(replica_of("one"), {2.0, {}}, at(0), at(10));
    auto const later = replica_of("one", 2'000);
    registry.retain({{later.id, later}}, at(20));
    EXPECT_TRUE(registry.limited_replicas().empty());
}

/// A gate before two limited replicas whose home never responds.
class gate_of_two : public testing::Test
{
protected:
    gate_of_two()
    {
        replicas.set_replicas({replica_of("one"), replica_of("two")});
        gate.set_asker(
            [this](permit_request const& each) { asked.push_back(each); });
    }

    auto closed(int priority, int ms) -> closed_replicas
    {
        return gate.find_closed(
            {service_name{"s"}, 0, 0, {}, {}}, std::nullopt, priority, at(ms));
    }

    auto state_limits(std::string const& id, stated_limits const& limits)
        -> void
    {
        gate.limits().record_response(replica_of(id), limits, at(0), at(0));
    }

    replica_table replicas{zone_name{"z"}, 1};
    send_gate gate{replicas};
    std::vector<permit_request> asked;
};

TEST_F(gate_of_two, asks_for_one_permit_at_a_time)
{
    state_limits("one", {2.0, {}});
    state_limits("two", {2.0, {}});
    EXPECT_EQ(closed(0, 1).ids.size(), 2U);
    EXPECT_TRUE(closed(0, 2).may_open_soon);
    ASSERT_EQ(asked.size(), 1U);
    gate.apply_response(
        {asked[0].number, asked[0].replica, duration{0}, {}}, at(4));
    EXPECT_EQ(closed(0, 5).ids.size(), 1U);
    EXPECT_EQ(asked.size(), 1U);
    EXPECT_EQ(
        gate.take(asked[0].replica, permit_use::request, at(6)),
        permission::granted);
    EXPECT_NE(
        gate.take(asked[0].replica, permit_use::request, at(7)),
        permission::granted);
    // The next one is asked for at the other replica's home.
    EXPECT_EQ(closed(0, 8).ids.size(), 2U);
    ASSERT_EQ(asked.size(), 2U);
    EXPECT_NE(asked[0].replica, asked[1].replica);
}

TEST_F(gate_of_two, leaves_permits_to_more_urgent_requests)
{
    state_limits("one", {2.0, {}});
    gate.record_refusal(service_name{"s"}, 1, at(0));
    EXPECT_TRUE(closed(2, 10).ids.contains(endpoint_id{"one"}));
    EXPECT_TRUE(asked.empty());
    EXPECT_EQ(closed(1, 20).ids.size(), 1U);
    EXPECT_EQ(asked.size(), 1U);
}

// A replica that fails if it rejects too often is sent nothing that may have to
// wait, and nothing for a while after it rejected a request.
TEST_F(gate_of_two, closes_brittle_replicas_without_room)
{
    state_limits("one", {{}, 3.0});
    EXPECT_TRUE(closed(0, 1).ids.empty());
    replicas.add(endpoint_id{"one"}, {2, 0, 0});
    EXPECT_TRUE(closed(0, 2).ids.contains(endpoint_id{"one"}));
    replicas.remove(endpoint_id{"one"}, {2, 0, 0});
    gate.record_rejection(endpoint_id{"one"}, at(3));
    EXPECT_TRUE(closed(0, 4).ids.contains(endpoint_id{"one"}));
    EXPECT_TRUE(closed(0, 1'100).ids.empty());
}

} // namespace
} // namespace sapphirereel::relay
