#include "correctness/core/placement_examples.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

constexpr auto capacity = 10'000.0;

auto report_of(double used) -> load_report
{
    return {.memory_tokens_used = used, .memory_tokens_total = capacity};
}

TEST(replica_ledger, counts_load_that_others_placed)
{
    auto ledger = example_ledger(capacity);
    auto const lengths = example_lengths();
    ledger.report(report_of(9'900), time_point{});
    auto const reply = ledger.offer(example_offer("r"), lengths, time_point{});
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().cause, offer_refusal_cause::memory);
    ledger.report(report_of(0), time_point{} + std::chrono::seconds(1));
    EXPECT_TRUE(ledger.offer(
        example_offer("r"), lengths, time_point{} + std::chrono::seconds(1)));
}

TEST(replica_ledger, own_streams_are_not_counted_twice)
{
    auto ledger = example_ledger(capacity);
    auto const lengths = example_lengths();
    ledger.announce(example_offer("r", "c", 5'000), 0, time_point{});
    ledger.report(report_of(5'000), time_point{});
    EXPECT_DOUBLE_EQ(ledger.summary(lengths, time_point{}).unseen_tokens, 0);
}

TEST(replica_ledger, compares_a_late_report_with_memory_at_its_time)
{
    auto ledger = example_ledger(capacity);
    auto const lengths = example_lengths();
    auto const at = [](int ms) {
        return time_point{} + std::chrono::milliseconds(ms);
    };
    ledger.report(report_of(0), at(0));
    ledger.announce(example_offer("r", "c", 5'000), 0, at(0));
    ledger.report(report_of(5'000), at(1'000));
    ledger.release(run_id{"r"});
    auto late = report_of(5'000);
    late.age = std::chrono::milliseconds(1'000);
    ledger.report(late, at(2'000));
    EXPECT_DOUBLE_EQ(ledger.summary(lengths, at(2'000)).unseen_tokens, 0);
}

} // namespace
} // namespace sapphirereel
