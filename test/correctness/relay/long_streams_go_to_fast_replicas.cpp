// Guards against long streams on replicas too slow for their target pause while
// faster ones have room, against faster ones filled with streams that gain
// nothing there, and against any effect where no pace is stated.
#include "sapphirereel/relay/replica_table.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

constexpr auto target = duration{milliseconds{180}};
constexpr auto replicas = 56;
constexpr auto fast_replicas = 14;

auto const engine = engine_traits{10'000, 16, 1'000, true, true, 4};

auto at(int ms) -> time_point
{
    return time_point{std::chrono::seconds{100}} + milliseconds{ms};
}

auto long_need() -> placement_need
{
    return {service_name{"s"}, 1'000, 800, {}, {}, target};
}

auto short_need() -> placement_need
{
    return {service_name{"s"}, 500, 480, {}, {}};
}

/// A table of 56 replicas of which every fourth is fast. Each is in the same
/// zone as the daemon.
class pace_of_replicas : public testing::Test
{
protected:
    pace_of_replicas()
    {
        for (auto each = 0; each < replicas; ++each)
        {
            auto made = replica{};
            made.id = endpoint_id{fmt::format("r{:02}", each)};
            made.service = service_name{"s"};
            made.zone = zone_name{"z"};
            made.slots = 24;
            made.started_at_ms = 1'000;
            listed.push_back(made);
        }
        table.set_replicas(listed);
    }

    static auto is_fast(int each) -> bool
    {
        return each % (replicas / fast_replicas) == 0;
    }

    auto state_paces(int ms = 0) -> void
    {
        for (auto each = 0; each < replicas; ++each)
        {
            table.pace().figures().record_figure(
                listed[static_cast<std::size_t>(each)],
                is_fast(each) ? 55 : 120, at(ms));
        }
    }

    /// Places a stream; returns whether it went to a fast replica.
    auto place(placement_need const& need, int ms) -> bool
    {
        auto const chosen = table.choose(need, engine, at(ms));
        table.add(
            chosen->target.id, {1, need.memory_tokens, 0, need.memory_tokens});
        return is_fast(std::stoi(chosen->target.id.str().substr(1)));
    }

    auto count_fast(placement_need const& need, int streams, int ms) -> int
    {
        auto fast = 0;
        for (auto each = 0; each < streams; ++each)
        {
            fast += place(need, ms) ? 1 : 0;
        }
        return fast;
    }

    std::vector<replica> listed;
    replica_table table{zone_name{"z"}, 1};
};

TEST_F(pace_of_replicas, decides_long_streams_until_the_fast_are_full)
{
    state_paces();
    // Nine of 1,000 tokens fit within the share at which a replica is full.
    EXPECT_EQ(count_fast(long_need(), 9 * fast_replicas, 1), 9 * fast_replicas);
    EXPECT_EQ(count_fast(long_need(), 100, 2), 0);
}

TEST_F(pace_of_replicas, leaves_the_fast_to_long_streams)
{
    state_paces();
    // Without long streams there is nothing to keep free.
    EXPECT_GT(count_fast(short_need(), 56, 1), 0);
    place(long_need(), 2);
    EXPECT_EQ(count_fast(short_need(), 100, 3), 0);
    EXPECT_GT(count_fast(short_need(), 56, 40'000), 0);
}

TEST_F(pace_of_replicas, is_no_reason_to_refuse_short_streams)
{
    state_paces();
    place(long_need(), 1);
    for (auto const& each : listed)
    {
        if (!is_fast(std::stoi(each.id.str().substr(1))))
        {
            table.add(each.id, {9, 9'400, 0});
        }
    }
    EXPECT_EQ(count_fast(short_need(), 20, 2), 20);
}

TEST_F(pace_of_replicas, is_no_reason_to_start_short_streams_late)
{
    state_paces();
    place(long_need(), 1);
    EXPECT_EQ(count_fast(short_need(), 20, 300), 0);
    // A prompt waits at each of the others.
    for (auto const& each : listed)
    {
        if (!is_fast(std::stoi(each.id.str().substr(1))))
        {
            table.add(each.id, {1, 500, 480});
        }
    }
    EXPECT_EQ(count_fast(short_need(), 20, 600), 20);
}

TEST_F(pace_of_replicas, that_is_not_stated_changes_nothing)
{
    auto other = replica_table{zone_name{"z"}, 1};
    other.set_replicas(listed);
    auto plain = long_need();
    plain.target_pause.reset();
    for (auto each = 0; each < 200; ++each)
    {
        auto const one = table.choose(long_need(), engine, at(each));
        auto const two = other.choose(plain, engine, at(each));
        EXPECT_EQ(one->target, two->target);
        EXPECT_EQ(one->score, two->score);
        EXPECT_EQ(one->candidates, two->candidates);
        table.add(one->target.id, {1, 1'000, 0});
        other.add(two->target.id, {1, 1'000, 0});
    }
    EXPECT_FALSE(table.is_pace_expected(long_need(), engine, at(300)));
}

TEST_F(pace_of_replicas, that_is_equal_changes_no_score)
{
    for (auto const& each : listed)
    {
        table.pace().figures().record_figure(each, 120, at(0));
    }
    auto const chosen = table.choose(long_need(), engine, at(1));
    EXPECT_LT(chosen->score, 0.2);
    // As many as one choice compares in the own zone.
    EXPECT_EQ(chosen->candidates, 12U);
}

TEST_F(pace_of_replicas, is_the_median_if_unknown)
{
    state_paces();
    listed[0].started_at_ms = 2'000;
    table.set_replicas(listed);
    table.choose(long_need(), engine, at(300));
    EXPECT_FALSE(table.pace().holds(listed[0], target));
    EXPECT_TRUE(table.pace().holds(listed[4], target));
}

TEST_F(pace_of_replicas, in_a_slow_period_keeps_prompts_off_running_streams)
{
    listed.resize(2);
    table.set_replicas(listed);
    table.add(listed[0].id, {1, 500, 0});
    table.add(listed[1].id, {4, 6'000, 0});
    for (auto const& each : listed)
    {
        table.pace().figures().record_figure(each, 100, at(0));
    }
    auto const choose = [&](int ms) {
        return table.choose(short_need(), engine, at(ms))->target.id;
    };
    EXPECT_EQ(choose(1), listed[0].id);
    table.pace().figures().record_figure(listed[0], 250, at(300));
    EXPECT_EQ(choose(301), listed[1].id);
    // The figure says nothing about the present any more.
    EXPECT_EQ(choose(701), listed[0].id);
    table.pace().figures().record_figure(listed[0], 250, at(800));
    table.remove(listed[0].id, {1, 500, 0});
    EXPECT_EQ(choose(801), listed[0].id);
}

TEST_F(pace_of_replicas, is_expected_while_a_fast_one_lacks_one_run)
{
    state_paces();
    count_fast(long_need(), 9 * fast_replicas, 1);
    EXPECT_TRUE(table.is_pace_expected(long_need(), engine, at(2)));
    auto shorter = long_need();
    shorter.target_pause.reset();
    EXPECT_FALSE(table.is_pace_expected(shorter, engine, at(2)));
    // A replica that just failed is not waited for.
    auto failed = table;
    for (auto const& each : listed)
    {
        failed.failed(each.id, at(2));
    }
    EXPECT_FALSE(failed.is_pace_expected(long_need(), engine, at(2)));
    for (auto const& each : listed)
    {
        table.add(each.id, {1, 1'000, 0});
    }
    EXPECT_FALSE(table.is_pace_expected(long_need(), engine, at(3)));
}

TEST(pace_need, is_that_of_streams_with_many_events_to_come)
{
    EXPECT_TRUE(needs_pace(64, 4));
    EXPECT_FALSE(needs_pace(63, 4));
    auto const latency = duration{milliseconds{1'800}};
    EXPECT_TRUE(may_wait_for_pace(
        {milliseconds{500}, latency, milliseconds{400}, 0.5}));
    EXPECT_FALSE(may_wait_for_pace(
        {milliseconds{501}, latency, milliseconds{400}, 0.5}));
}

} // namespace
} // namespace sapphirereel::relay
