#include "correctness/core/placement_examples.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel {
namespace {

auto full_ledger(length_estimator const& lengths) -> replica_ledger
{
    auto ledger = example_ledger(10'000);
    auto number = 0;
    while (ledger.offer(
        example_offer("big" + std::to_string(number), "big", 500), lengths,
        time_point{}))
    {
        ++number;
    }
    return ledger;
}

TEST(replica_ledger, large_customer_yields_to_a_waiting_small_one)
{
    auto const lengths = example_lengths();
    auto ledger = full_ledger(lengths);
    auto small = example_offer("small", "small", 500);
    small.wait_ms = 1'000;
    ASSERT_FALSE(ledger.offer(small, lengths, time_point{}));
    ledger.release(run_id{"big0"});
    ledger.release(run_id{"big1"});
    auto const again =
        ledger.offer(example_offer("again", "big", 500), lengths, {});
    ASSERT_FALSE(again);
    EXPECT_EQ(again.error().cause, offer_refusal_cause::share);
    auto const granted = ledger.grants(lengths, time_point{});
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted[0].offer, small);
    EXPECT_EQ(ledger.waiting(), 0U);
}

TEST(replica_ledger, large_customer_may_use_all_memory_when_no_offer_waits)
{
    auto const lengths = example_lengths();
    auto ledger = full_ledger(lengths);
    ledger.release(run_id{"big0"});
    ledger.release(run_id{"big1"});
    EXPECT_TRUE(ledger.offer(example_offer("again", "big", 500), lengths, {}));
}

TEST(replica_ledger, moved_stream_bypasses_the_share)
{
    auto const lengths = example_lengths();
    auto ledger = full_ledger(lengths);
    auto small = example_offer("small", "small", 500);
    small.wait_ms = 1'000;
    ASSERT_FALSE(ledger.offer(small, lengths, {}));
    ledger.release(run_id{"big0"});
    ledger.release(run_id{"big1"});
    auto moved = example_offer("moved", "big", 100);
    moved.output_tokens = 50;
    EXPECT_TRUE(ledger.offer(moved, lengths, {}));
}

TEST(replica_ledger, a_waiting_offer_is_dropped_when_overdue)
{
    auto const lengths = example_lengths();
    auto ledger = full_ledger(lengths);
    auto small = example_offer("small", "small", 500);
    small.wait_ms = 1'000;
    auto const reply = ledger.offer(small, lengths, {});
    ASSERT_FALSE(reply);
    EXPECT_TRUE(reply.error().queued);
    ledger.expire(time_point{} + std::chrono::seconds(1));
    EXPECT_EQ(ledger.waiting(), 0U);
}

RC_GTEST_PROP(replica_ledger, customers_are_ranked_by_memory_held, ())
{
    auto const lengths = example_lengths();
    auto ledger = full_ledger(lengths);
    auto const count = *rc::gen::inRange(2, 6);
    for (auto i = 0; i < count; ++i)
    {
        auto const name = std::to_string(i);
        auto offer = example_offer("w" + name, i == 0 ? "big" : name, 500);
        offer.wait_ms = 1'000;
        RC_ASSERT(!ledger.offer(offer, lengths, {}));
    }
    auto names = std::vector<run_id>{};
    for (auto i = 0; ledger.release(run_id{"big" + std::to_string(i)}); ++i)
    {
        for (auto const& granted : ledger.grants(lengths, {}))
        {
            names.push_back(granted.offer.run);
        }
    }
    RC_ASSERT(names.size() == static_cast<std::size_t>(count));
    RC_ASSERT(names.back() == run_id{"w0"});
}

} // namespace
} // namespace sapphirereel
