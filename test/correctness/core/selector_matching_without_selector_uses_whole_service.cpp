#include "sapphirereel/core/selector_matching.hpp"

#include "correctness/core/configuration_samples.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

TEST(
    selector_matching,
    without_selector_every_endpoint_of_the_service_is_eligible)
{
    auto const outcome = match(
        sample_configuration(),
        {service_name{}, model_name{"trasee-8b"}, customer_id{"anyone"}});
    ASSERT_EQ(outcome.endpoints.size(), 3U);
    EXPECT_FALSE(outcome.selector.has_value());
    EXPECT_EQ(outcome.endpoints[0].kind, service_kind::engine);
    EXPECT_TRUE(outcome.endpoints[0].checks_fencing);
    EXPECT_TRUE(outcome.endpoints[0].resumes_prefix);
    EXPECT_TRUE(outcome.problems.empty());
}

TEST(selector_matching, a_named_service_needs_no_model)
{
    auto const outcome = match(
        sample_configuration(),
        {service_name{"registru"}, model_name{}, customer_id{"anyone"}});
    ASSERT_EQ(outcome.endpoints.size(), 1U);
    EXPECT_EQ(outcome.endpoints[0].id, endpoint_id{"reg-1"});
}

} // namespace
} // namespace sapphirereel
