#include "fuzz/core/at_most_once_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rc {

template <>
struct Arbitrary<sapphirereel::test::test_step>
{
    static auto arbitrary() -> Gen<sapphirereel::test::test_step>
    {
        using sapphirereel::test::step_weights;
        using sapphirereel::test::test_step;
        auto const kinds = gen::map(
            gen::inRange<std::size_t>(0, step_weights.size()),
            [](std::size_t i) { return step_weights.at(i).kind; });
        return gen::construct<test_step>(
            kinds, gen::arbitrary<std::uint8_t>(),
            gen::arbitrary<std::uint8_t>());
    }
};

} // namespace rc

namespace sapphirereel::test {

RC_GTEST_PROP(
    at_most_once,
    holds_its_invariants_in_any_order_of_events,
    (std::vector<test_step> const& steps))
{
    at_most_once_simulation<all_mechanisms> simulation;
    RC_ASSERT(simulation.run(steps) == std::vector<std::string>{});
}

TEST(at_most_once, holds_its_invariants_in_thousands_of_random_simulations)
{
    constexpr std::uint64_t simulations = 4000;
    constexpr std::size_t steps = 150;
    std::size_t effects = 0;
    for (std::uint64_t seed = 1; seed <= simulations; ++seed)
    {
        at_most_once_simulation<all_mechanisms> simulation;
        ASSERT_EQ(
            simulation.run(random_steps(seed, steps)),
            std::vector<std::string>{})
            << "seed " << seed;
        effects += simulation.effects();
    }
    EXPECT_GT(effects, simulations / 2);
}

} // namespace sapphirereel::test
