#include "correctness/core/placement_examples.hpp"

#include "sapphirereel/core/migration_policy.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

auto at(int seconds) -> time_point
{
    return time_point{} + std::chrono::seconds(seconds);
}

constexpr std::uint32_t length = 1'000;

/// A ledger whose streams need about 1,500 tokens more than its capacity.
auto crowded_ledger() -> replica_ledger
{
    auto ledger = example_ledger(4'600);
    ledger.announce(example_offer("small", "c", 50), length, {});
    ledger.announce(example_offer("middle", "c", 700), length, {});
    ledger.announce(example_offer("large", "c", 2'400), length, {});
    return ledger;
}

auto refresh(replica_ledger& ledger, time_point now) -> void
{
    for (auto const* name : {"small", "large", "middle"})
    {
        ledger.progress(run_id{name}, length + 10, now);
    }
}

TEST(migration_policy, moves_nothing_while_memory_suffices)
{
    auto ledger = example_ledger(2'000);
    ledger.announce(example_offer("r", "c", 100), 10, {});
    auto policy = migration_policy::create({}).value();
    EXPECT_FALSE(policy.choose(ledger, example_lengths(), at(0)));
    EXPECT_FALSE(policy.choose(ledger, example_lengths(), at(25)));
}

TEST(migration_policy, moves_the_cheapest_stream_that_frees_enough)
{
    auto ledger = crowded_ledger();
    auto policy = migration_policy::create({}).value();
    EXPECT_FALSE(policy.choose(ledger, example_lengths(), at(0)));
    refresh(ledger, at(20));
    auto const chosen = policy.choose(ledger, example_lengths(), at(20));
    ASSERT_TRUE(chosen);
    EXPECT_EQ(*chosen, run_id{"middle"});
}

TEST(migration_policy, moves_one_stream_at_a_time)
{
    auto ledger = crowded_ledger();
    auto policy = migration_policy::create({}).value();
    policy.choose(ledger, example_lengths(), at(0));
    refresh(ledger, at(20));
    EXPECT_TRUE(policy.choose(ledger, example_lengths(), at(20)));
    EXPECT_FALSE(policy.choose(ledger, example_lengths(), at(20)));
}

TEST(migration_policy, keeps_recent_arrivals)
{
    auto ledger = crowded_ledger();
    auto policy = migration_policy::create({}).value();
    EXPECT_FALSE(policy.choose(ledger, example_lengths(), at(0)));
    EXPECT_FALSE(policy.choose(ledger, example_lengths(), at(1)));
}

} // namespace
} // namespace sapphirereel
