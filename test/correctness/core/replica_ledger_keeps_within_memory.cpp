#include "correctness/core/placement_examples.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel {
namespace {

RC_GTEST_PROP(replica_ledger, never_accepts_past_its_memory, ())
{
    auto const capacity = 10'000.0;
    auto ledger = example_ledger(capacity);
    auto const lengths = example_lengths();
    auto now = time_point{};
    auto const prompts =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 3000));
    auto number = 0;
    for (auto const prompt : prompts)
    {
        auto const offer = example_offer(
            std::to_string(number++), "c", static_cast<std::uint32_t>(prompt));
        auto const reply = ledger.offer(offer, lengths, now);
        if (reply)
        {
            auto const peak = ledger.forecast(lengths, now).peak(1.0);
            RC_ASSERT(peak <= capacity);
            RC_ASSERT(reply->headroom >= 0);
        }
        RC_ASSERT(ledger.streams().contains(offer.run) == reply.has_value());
    }
}

TEST(replica_ledger, repeated_offer_reserves_once)
{
    auto ledger = example_ledger(10'000);
    auto const lengths = example_lengths();
    auto const offer = example_offer("r");
    EXPECT_TRUE(ledger.offer(offer, lengths, time_point{}));
    EXPECT_TRUE(ledger.offer(offer, lengths, time_point{}));
    EXPECT_EQ(ledger.streams().size(), 1U);
}

TEST(replica_ledger, drops_streams_of_a_silent_entry_daemon)
{
    auto ledger = example_ledger(10'000);
    auto const lengths = example_lengths();
    EXPECT_TRUE(ledger.offer(example_offer("a"), lengths, time_point{}));
    EXPECT_TRUE(ledger.offer(example_offer("b"), lengths, time_point{}));
    auto const later = time_point{} + std::chrono::seconds(20);
    EXPECT_TRUE(ledger.progress(run_id{"a"}, 400, later));
    ledger.expire(time_point{} + std::chrono::seconds(40));
    EXPECT_TRUE(ledger.streams().contains(run_id{"a"}));
    EXPECT_FALSE(ledger.streams().contains(run_id{"b"}));
}

TEST(replica_ledger, progress_of_an_unknown_run_is_rejected)
{
    auto ledger = example_ledger(10'000);
    EXPECT_FALSE(ledger.progress(run_id{"x"}, 4, time_point{}));
    ledger.announce(example_offer("x"), 4, time_point{});
    EXPECT_TRUE(ledger.progress(run_id{"x"}, 5, time_point{}));
}

} // namespace
} // namespace sapphirereel
