#include "correctness/core/membership_network.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::test {

TEST(membership, control_traffic_stays_within_its_budget_at_the_target_size)
{
    constexpr std::size_t daemons = 360;
    constexpr std::size_t bytes_per_second = 1500;
    membership_network network{daemons};
    network.join_all();
    ASSERT_TRUE(network.views_agree());
    network.count_bytes = true;
    constexpr std::chrono::seconds time{10};
    network.kill(0);
    network.run(time);
    auto const each =
        network.sent_bytes / daemons / static_cast<std::size_t>(time.count());
    RecordProperty("bytes_per_second", static_cast<int>(each));
    EXPECT_LT(each, bytes_per_second);
}

} // namespace sapphirereel::test
