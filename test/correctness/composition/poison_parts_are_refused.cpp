#include "fuzz/composition/cluster_world.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto const shared = digest{"shared"};
auto const poison = digest{"poison"};

/// Crashes further apart than this have different names.
constexpr auto crash_spacing = seconds{11};

/// Time in which a request reaches an engine and its crash is reported.
constexpr auto crash_time = milliseconds{200};

constexpr auto crashes_to_ruling = 3;
constexpr auto requests_after = 12;

/// A cluster in which unlike requests have crashed engines; each caller leaves
/// after one crash.
auto crashed_world() -> cluster_world
{
    auto world = cluster_world{7};
    world.set_deadly_text("poison");
    world.ask_generation("harmless", {shared});
    for (auto i = 0; i < crashes_to_ruling; ++i)
    {
        world.run(crash_spacing);
        auto const caller = world.ask_generation(
            "poison " + std::to_string(i), {shared, poison});
        world.run(crash_time);
        world.close(caller);
    }
    // Output of another request shows that the engines are not all lost.
    world.run(seconds{1});
    world.ask_generation("harmless too", {shared});
    world.run(seconds{2});
    return world;
}

/// Sends unlike requests with the poison part to all daemons; each must be
/// refused and none may reach an engine.
auto expect_refused(cluster_world& world) -> void
{
    auto const before = world.crashes();
    for (auto i = 0; i < requests_after; ++i)
    {
        auto const caller = world.ask_generation(
            "more poison " + std::to_string(i), {shared, poison});
        world.run(seconds{1});
        auto const& refused = world.callers()[caller].refused;
        ASSERT_TRUE(refused.has_value()) << i;
        EXPECT_EQ(refused->cause, refusal_cause::poison);
        EXPECT_EQ(refused->outcome, disposition::final_answer);
        EXPECT_EQ(refused->message, "a part of this prompt crashes endpoints");
    }
    EXPECT_EQ(world.crashes(), before);
}

// Unlike requests with one bad document would take down engine after engine.
TEST(poison_parts, refuses_unlike_requests_that_share_a_deadly_part)
{
    auto world = crashed_world();
    EXPECT_EQ(world.crashes(), crashes_to_ruling);
    expect_refused(world);
}

// A part that all requests share would be refused along with the deadly one.
TEST(poison_parts, serves_requests_with_the_other_shared_part)
{
    auto world = crashed_world();
    for (auto i = 0; i < requests_after; ++i)
    {
        auto const caller =
            world.ask_generation("fine " + std::to_string(i), {shared});
        world.run(seconds{4});
        EXPECT_EQ(world.callers()[caller].tokens.size(), output_length);
        EXPECT_EQ(world.callers()[caller].ends, 1);
    }
}

// A restarted daemon would let through what its peers refuse.
TEST(poison_parts, are_refused_by_daemons_that_have_restarted)
{
    auto world = crashed_world();
    for (auto at = std::size_t{0}; at < core_count; ++at)
    {
        world.kill_core(at);
        world.run(seconds{8});
    }
    expect_refused(world);
}

// Daemons would send each other the crashes of a lost zone without end.
TEST(poison_parts, forward_each_crash_once)
{
    constexpr auto lost_engines = 200;
    auto world = cluster_world{7};
    for (auto i = 0; i < lost_engines; ++i)
    {
        auto const crash = digest{"engine " + std::to_string(i)};
        world.tell_parts(0, {{{crash, {shared}}}, {}, {}});
    }
    world.run(seconds{10});
    EXPECT_LE(
        world.part_messages(),
        lost_engines * static_cast<int>(core_count * (core_count - 1)));
}

// A trial that fails would be tried on one engine after the other.
TEST(poison_parts, crash_one_engine_for_each_trial)
{
    auto world = crashed_world();
    world.run(std::chrono::minutes{5});
    auto trials = 0;
    for (auto i = 0; i < requests_after; ++i)
    {
        auto const before = world.crashes();
        auto const caller = world.ask_generation(
            "still poison " + std::to_string(i), {shared, poison});
        world.run(seconds{4});
        ASSERT_TRUE(world.callers()[caller].refused.has_value());
        EXPECT_EQ(
            world.callers()[caller].refused->cause, refusal_cause::poison);
        EXPECT_LE(world.crashes() - before, 1);
        trials += world.crashes() - before;
    }
    EXPECT_GE(trials, 1);
}

// A part that crashes engines no longer would stay refused for good.
TEST(poison_parts, are_served_again_after_a_trial_that_has_output)
{
    auto world = crashed_world();
    world.set_deadly_text("");
    world.run(std::chrono::minutes{5});
    auto caller = std::size_t{0};
    for (auto i = 0; i < requests_after; ++i)
    {
        caller = world.ask_generation(
            "mended " + std::to_string(i), {shared, poison});
        world.run(seconds{4});
    }
    EXPECT_EQ(world.callers()[caller].tokens.size(), output_length);
}

} // namespace
} // namespace sapphirereel::test
