#include "fuzz/core/at_most_once_simulation.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::test {

namespace {

struct without_read_back : all_mechanisms
{
    static constexpr bool read_back = false;
};

struct without_dispatch_window : all_mechanisms
{
    static constexpr bool dispatch_window = false;
};

struct without_refuse_entries : all_mechanisms
{
    static constexpr bool refuse_entries = false;
};

struct without_complete_log : all_mechanisms
{
    static constexpr bool complete_log = false;
};

struct without_body_match : all_mechanisms
{
    static constexpr bool body_match = false;
};

// complete_log also refuses names that are older than their lifetime, so the
// effect of name_lifetime shows only when complete_log is disabled too.
struct without_lifetime_and_complete_log : without_complete_log
{
    static constexpr bool name_lifetime = false;
};

/// Number of simulations, out of 3000, in which the violation occurs.
template <class Mechanisms>
auto simulations_with(std::string const& violation) -> std::size_t
{
    constexpr std::uint64_t simulations = 3000;
    constexpr std::size_t steps = 150;
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= simulations; ++seed)
    {
        at_most_once_simulation<Mechanisms> simulation;
        auto const seen = simulation.run(random_steps(seed, steps));
        count += std::count(seen.begin(), seen.end(), violation) > 0 ? 1 : 0;
    }
    return count;
}

} // namespace

TEST(at_most_once, needs_its_claim_read_back)
{
    EXPECT_GT(simulations_with<without_read_back>("more than one effect"), 0);
}

TEST(at_most_once, needs_its_dispatch_window)
{
    EXPECT_GT(
        simulations_with<without_dispatch_window>(
            "an effect later than its window"),
        0);
}

TEST(at_most_once, needs_its_refuse_entries)
{
    EXPECT_GT(
        simulations_with<without_refuse_entries>(
            "reported as not run, but ran"),
        0);
}

TEST(at_most_once, needs_a_complete_log)
{
    EXPECT_GT(
        simulations_with<without_complete_log>("reported as not run, but ran"),
        0);
}

TEST(at_most_once, needs_the_lifetime_of_names_where_the_log_is_incomplete)
{
    auto const one_off =
        simulations_with<without_complete_log>("more than one effect");
    auto const both_off = simulations_with<without_lifetime_and_complete_log>(
        "more than one effect");
    EXPECT_GT(both_off, one_off);
}

TEST(at_most_once, needs_to_match_bodies)
{
    EXPECT_GT(
        simulations_with<without_body_match>("an answer of another call"), 0);
}

} // namespace sapphirereel::test
