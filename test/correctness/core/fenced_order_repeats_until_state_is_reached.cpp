#include "sapphirereel/core/fenced_order.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {

TEST(fenced_order, is_repeated_until_the_endpoint_reports_the_desired_version)
{
    constexpr duration repeat = std::chrono::seconds{5};
    auto const key = order_key{order_subject::adapter, "closures"};
    auto const fence = log_offset{12};
    auto now = time_point{};
    order_reconciler orders{repeat};
    orders.set_desired(key, "v2");
    EXPECT_TRUE(orders.due(std::nullopt, now).empty());
    EXPECT_EQ(
        orders.due(fence, now),
        (std::vector<fenced_order>{{fence, key, "v2"}}));
    EXPECT_TRUE(orders.due(fence, now).empty());
    now += repeat;
    orders.observe({{key, "v1"}});
    EXPECT_EQ(orders.due(fence, now).size(), 1U);
    orders.observe({{key, "v2"}});
    EXPECT_TRUE(orders.satisfied());
    // A late order from a previous lease holder is reverted.
    orders.observe({{key, "v1"}});
    EXPECT_EQ(orders.due(fence, now + repeat).size(), 1U);
}

TEST(fenced_order, stops_when_a_newer_fencing_number_is_known)
{
    order_reconciler orders{duration::zero()};
    orders.set_desired({order_subject::model, "m"}, std::nullopt);
    orders.refused(log_offset{20});
    EXPECT_TRUE(orders.due(log_offset{12}, {}).empty());
    EXPECT_EQ(orders.due(log_offset{21}, {}).size(), 1U);
}

} // namespace sapphirereel
