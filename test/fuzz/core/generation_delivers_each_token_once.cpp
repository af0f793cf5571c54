#include "generation_simulation.hpp"

#include <gtest/gtest.h>
#include <random>

namespace sapphirereel::test {
namespace {

constexpr auto runs = 3000;
constexpr auto faults = 60;
constexpr auto output_tokens = 25;

auto simulate(std::uint64_t seed, enabled_mechanisms mechanisms)
    -> generation_simulation
{
    auto random = std::mt19937_64{seed};
    auto simulation = generation_simulation{output_tokens, mechanisms};
    for (auto i = 0; i < faults; ++i)
    {
        // Half of the steps are tokens, so that streams make progress.
        auto const what = random() % 2 == 0
                              ? simulation_step::token
                              : static_cast<simulation_step>(
                                    random() % simulation_step_count);
        simulation.step(what, random() % 16);
    }
    simulation.run_to_end();
    return simulation;
}

auto is_whole(generation_simulation const& simulation) -> bool
{
    return simulation.in_order() && is_one_generation(simulation.tokens()) &&
           simulation.finished() == 1 &&
           simulation.tokens().size() == output_tokens;
}

auto broken_runs(enabled_mechanisms mechanisms) -> int
{
    auto broken = 0;
    for (auto seed = 1; seed <= runs; ++seed)
    {
        auto const simulation =
            simulate(static_cast<std::uint64_t>(seed), mechanisms);
        broken += is_one_generation(simulation.tokens()) ? 0 : 1;
    }
    return broken;
}

TEST(generation, delivers_each_token_once_under_faults)
{
    auto refused = 0;
    for (auto seed = 1; seed <= runs; ++seed)
    {
        auto const simulation = simulate(static_cast<std::uint64_t>(seed), {});
        ASSERT_TRUE(simulation.in_order()) << "seed " << seed;
        ASSERT_TRUE(is_one_generation(simulation.tokens())) << "seed " << seed;
        if (simulation.refused())
        {
            // A refusal is allowed only where the text is lost.
            ASSERT_TRUE(simulation.text_lost())
                << "seed " << seed << " " << simulation.refused()->message;
            ++refused;
            continue;
        }
        ASSERT_TRUE(is_whole(simulation)) << "seed " << seed;
    }
    RecordProperty("refused", refused);
    std::cout << refused << " of " << runs
              << " runs lost the engine and the reading daemon together\n";
}

TEST(generation, needs_stream_numbers)
{
    EXPECT_GT(broken_runs({.stream_numbers = false}), 0);
}

TEST(generation, needs_the_exact_prefix)
{
    EXPECT_GT(broken_runs({.exact_prefix = false}), 0);
}

} // namespace
} // namespace sapphirereel::test
