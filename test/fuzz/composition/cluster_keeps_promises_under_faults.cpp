#include "fuzz/composition/cluster_world.hpp"

#include <gtest/gtest.h>
#include <iostream>

namespace sapphirereel::test {
namespace {

constexpr auto seeds = 300;
constexpr auto fault_count = 10;
constexpr auto time_to_settle = std::chrono::seconds{150};

/// Bound on the time until an accepted configuration is in force everywhere.
constexpr auto in_force_limit = std::chrono::seconds{9};

/// Bound on new work for an endpoint after the notice of its leaving.
constexpr auto leaving_limit = std::chrono::seconds{3};

auto fail_somehow(cluster_world& world) -> void
{
    auto const time = std::chrono::milliseconds{200 + world.pick(8000)};
    switch (world.pick(9))
    {
    case 0:
        world.kill_core(world.pick(core_count));
        break;
    case 1:
        world.freeze_core(world.pick(core_count), time);
        break;
    case 2:
        world.cut(world.pick(core_count), world.pick(core_count), time);
        break;
    case 3:
    {
        auto const a = world.pick(core_count);
        auto const b = world.pick(core_count);
        world.cut(a, b, time);
        world.cut(b, a, time);
        break;
    }
    case 4:
        world.stop_log(time);
        break;
    case 5:
        world.lose_log_answers(static_cast<int>(world.pick(4)));
        break;
    case 6:
        world.crash_engine(world.pick(engine_count));
        break;
    case 7:
        world.lose_call_answers(static_cast<int>(world.pick(3)));
        break;
    default:
        if (!world.callers().empty())
        {
            world.resume_elsewhere(world.pick(world.callers().size()));
        }
        break;
    }
}

auto play(std::uint64_t seed) -> cluster_world
{
    auto world = cluster_world{seed};
    for (auto i = 0; i < fault_count; ++i)
    {
        world.ask_generation(
            "prompt " + std::to_string(i), {digest{"shared by all"}});
        auto const name = "call-" + std::to_string(world.pick(fault_count));
        world.call(name);
        world.call(name);
        fail_somehow(world);
        world.run(std::chrono::milliseconds{200 + world.pick(1500)});
    }
    world.run(time_to_settle);
    return world;
}

struct tally
{
    int generations = 0;
    int whole = 0;
    int lost_text = 0;
    int names = 0;
    int sent = 0;
    int unknown = 0;
};

auto check_callers(cluster_world const& world, int seed, tally& counted) -> void
{
    for (auto const& caller : world.callers())
    {
        ++counted.generations;
        EXPECT_TRUE(caller.in_order) << "seed " << seed;
        EXPECT_TRUE(is_one_generation(caller.tokens)) << "seed " << seed;
        EXPECT_EQ(caller.ends, 1) << "seed " << seed << " " << caller.prompt;
        if (caller.refused)
        {
            // The engine and the daemon that had read the text were lost.
            EXPECT_EQ(caller.refused->cause, refusal_cause::endpoint_lost)
                << "seed " << seed << " " << caller.refused->message;
            ++counted.lost_text;
            continue;
        }
        EXPECT_EQ(caller.tokens.size(), output_length) << "seed " << seed;
        ++counted.whole;
    }
}

auto check_calls(cluster_world const& world, int seed, tally& counted) -> void
{
    for (auto const& [name, call] : world.calls())
    {
        ++counted.names;
        counted.sent += call.sent;
        counted.unknown += call.unknown;
        EXPECT_LE(call.effects, 1) << "seed " << seed << " " << name.str();
        if (call.not_run > 0)
        {
            EXPECT_EQ(call.effects, 0) << "seed " << seed << " " << name.str();
        }
        if (call.answers > 0)
        {
            EXPECT_EQ(call.effects, 1) << "seed " << seed << " " << name.str();
        }
    }
}

TEST(cluster, keeps_promises_under_faults)
{
    auto counted = tally{};
    for (auto seed = 1; seed <= seeds; ++seed)
    {
        auto const world = play(static_cast<std::uint64_t>(seed));
        check_callers(world, seed, counted);
        check_calls(world, seed, counted);
        EXPECT_EQ(world.reversions(), 0) << "seed " << seed;
        ASSERT_FALSE(::testing::Test::HasFailure());
    }
    std::cout << counted.generations << " generations, " << counted.whole
              << " whole, " << counted.lost_text << " lost their text; "
              << counted.names << " names sent " << counted.sent << " times, "
              << counted.unknown << " answers of unknown outcome\n";
}

TEST(cluster, brings_an_accepted_edit_into_force_everywhere)
{
    for (auto seed = 1; seed <= 50; ++seed)
    {
        auto world = cluster_world{static_cast<std::uint64_t>(seed)};
        world.cut(
            world.pick(core_count), world.pick(core_count),
            std::chrono::seconds{5});
        world.lose_log_answers(1);
        // Two operators race on the same label.
        for (auto const* value : {"x", "y"})
        {
            world.propose(
                std::string{"edit-"} + value,
                {set_group_label{group_name{"ge"}, "tier", value}});
        }
        world.run(in_force_limit);
        auto const newest = log_offset{world.log().configuration.size()};
        for (auto const& offset : world.offsets())
        {
            EXPECT_EQ(offset, newest) << "seed " << seed;
        }
        EXPECT_EQ(world.reversions(), 0);
    }
}

TEST(cluster, gives_a_leaving_engine_no_new_work)
{
    for (auto seed = 1; seed <= 50; ++seed)
    {
        auto world = cluster_world{static_cast<std::uint64_t>(seed)};
        world.ask_generation("before");
        world.run(std::chrono::milliseconds{500});
        world.leave(world.pick(engine_count));
        for (auto i = 0; i < 30; ++i)
        {
            world.ask_generation("after " + std::to_string(i));
            world.run(std::chrono::milliseconds{200});
        }
        EXPECT_LE(world.latest_start_after_leaving(), leaving_limit)
            << "seed " << seed;
    }
}

TEST(cluster, refuses_a_request_that_crashes_engines)
{
    constexpr auto engines_lost_limit = 3;
    for (auto seed = 1; seed <= 50; ++seed)
    {
        auto world = cluster_world{static_cast<std::uint64_t>(seed)};
        world.set_deadly("deadly");
        for (auto i = 0; i < 6; ++i)
        {
            world.ask_generation("innocent " + std::to_string(i));
        }
        auto const deadly = world.ask_generation("deadly");
        world.run(std::chrono::seconds{20});
        auto const again = world.ask_generation("deadly");
        world.run(std::chrono::seconds{60});
        EXPECT_LE(world.crashes(), engines_lost_limit) << "seed " << seed;
        for (auto i = std::size_t{0}; i < world.callers().size(); ++i)
        {
            auto const& caller = world.callers()[i];
            ASSERT_EQ(caller.ends, 1) << "seed " << seed << " caller " << i;
            auto const refused = caller.refused.has_value();
            EXPECT_EQ(refused, i == deadly || i == again)
                << "seed " << seed << " caller " << i;
        }
    }
}

} // namespace
} // namespace sapphirereel::test
