#include "sapphirereel/core/selector_matching.hpp"

#include "correctness/core/configuration_samples.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

TEST(selector_matching, does_not_fall_through_to_the_next_selector)
{
    auto config = sample_configuration();
    add(config, pool_selector("confines", 2, "none-such"));
    add(config, pool_selector("wide", 1, "fast"));
    auto const outcome = match(
        config, {service_name{"lm-trasee"}, model_name{}, customer_id{"a"}});
    EXPECT_TRUE(outcome.endpoints.empty());
    ASSERT_EQ(outcome.problems.size(), 1U);
    EXPECT_EQ(outcome.problems[0].where.source, "selector confines");
}

TEST(selector_matching, reports_an_unknown_service_or_model)
{
    auto const config = sample_configuration();
    auto const by_service =
        match(config, {service_name{"x"}, model_name{}, customer_id{}});
    auto const by_model =
        match(config, {service_name{}, model_name{"y"}, customer_id{}});
    ASSERT_EQ(by_service.problems.size(), 1U);
    EXPECT_EQ(by_service.problems[0].where.field, "service");
    ASSERT_EQ(by_model.problems.size(), 1U);
    EXPECT_EQ(by_model.problems[0].where.field, "model");
}

} // namespace
} // namespace sapphirereel
