#include "sapphirereel/core/selector_matching.hpp"

#include "correctness/core/configuration_samples.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

using testing::ElementsAre;

auto const request = request_facts{
    service_name{}, model_name{"trasee-8b"}, customer_id{"salvamont"}};

TEST(selector_matching, reports_why_every_other_selector_was_skipped)
{
    auto config = sample_configuration();
    add(config, pool_selector("b-applies", 5, "fast"));
    add(config, pool_selector("c-same", 5, "slow"));
    add(config, pool_selector("d-lower", 1, "slow"));
    auto for_other = pool_selector("e-customer", 9, "slow");
    for_other.customers = {customer_id{"primaria"}};
    add(config, for_other);
    auto for_model = pool_selector("f-model", 9, "slow");
    for_model.models = {model_name{"other"}};
    add(config, for_model);
    auto for_service = pool_selector("g-service", 9, "slow");
    for_service.services = {service_name{"registru"}};
    add(config, for_service);

    auto const outcome = match(config, request);

    EXPECT_EQ(outcome.selector, selector_name{"b-applies"});
    EXPECT_THAT(
        outcome.skipped_selectors,
        ElementsAre(
            skipped_selector{
                selector_name{"c-same"}, selector_skip_reason::later_name},
            skipped_selector{
                selector_name{"d-lower"},
                selector_skip_reason::lower_precedence},
            skipped_selector{
                selector_name{"e-customer"},
                selector_skip_reason::other_customer},
            skipped_selector{
                selector_name{"f-model"}, selector_skip_reason::other_model},
            skipped_selector{
                selector_name{"g-service"},
                selector_skip_reason::other_service}));
}

TEST(selector_matching, reports_the_label_that_excluded_an_endpoint)
{
    auto config = sample_configuration();
    auto& fast = config.groups[group_name{"fast"}].endpoints;
    fast[0].labels["canary"] = "yes";
    fast[1].labels["pool"] = "own";
    auto tried = pool_selector("s", 0, "fast");
    tried.requirements.push_back({"canary", {}});
    add(config, tried);

    auto const outcome = match(config, request);

    EXPECT_TRUE(outcome.endpoints.empty());
    EXPECT_THAT(
        outcome.skipped_endpoints,
        ElementsAre(
            skipped_endpoint{
                endpoint_id{"lm-1"}, endpoint_skip_reason::label_present,
                "canary"},
            skipped_endpoint{
                endpoint_id{"lm-2"}, endpoint_skip_reason::label_differs,
                "pool"},
            skipped_endpoint{
                endpoint_id{"lm-3"}, endpoint_skip_reason::label_differs,
                "pool"},
            skipped_endpoint{
                endpoint_id{"reg-1"}, endpoint_skip_reason::other_service,
                ""}));
}

} // namespace
} // namespace sapphirereel
