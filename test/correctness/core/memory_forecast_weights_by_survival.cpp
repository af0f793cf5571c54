#include "sapphirereel/core/memory_forecast.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

TEST(memory_forecast, weights_streams_by_survival)
{
    auto lengths = length_estimator::create({}).value();
    auto const kind = stream_kind{service_name{"s"}, customer_id{"c"}};
    for (auto i = 0; i < 1000; ++i)
    {
        lengths.record(kind, {0, 30, true}, time_point{});
    }
    auto const forecast =
        memory_forecast::of({100, 0, 20}, lengths.curve(kind));
    EXPECT_DOUBLE_EQ(forecast.mean(0), 100);
    EXPECT_GT(forecast.mean(1), 110);
    EXPECT_LT(forecast.mean(7), 50);
}

TEST(memory_forecast, margin_of_a_sum_is_less_than_the_sum_of_margins)
{
    auto const lengths = length_estimator::create({}).value();
    auto const curve = lengths.curve({});
    auto const one = memory_forecast::of({100, 50, 20}, curve);
    auto sum = memory_forecast{};
    for (auto i = 0; i < 100; ++i)
    {
        sum += one;
    }
    EXPECT_LT(sum.peak(2), 100 * one.peak(2));
    EXPECT_GE(sum.peak(2), sum.peak(0));
}

} // namespace
} // namespace sapphirereel
