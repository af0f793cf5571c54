#include "sapphirereel/core/configuration_check.hpp"

#include "correctness/core/configuration_samples.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

using testing::ElementsAre;

/// A finding's severity, object and field, without its texts.
auto brief(finding const& one) -> std::string
{
    auto const level =
        one.level == severity::error ? std::string{"E "} : std::string{"W "};
    return level + one.where.source + ": " + one.where.field;
}

auto briefs(configuration const& config) -> std::vector<std::string>
{
    auto texts = std::vector<std::string>{};
    for (auto const& one : check_configuration(config))
    {
        texts.push_back(brief(one));
    }
    return texts;
}

TEST(configuration_check, finds_nothing_in_a_valid_configuration)
{
    EXPECT_THAT(briefs(sample_configuration()), ElementsAre());
}

TEST(configuration_check, reports_all_errors_of_groups_and_endpoints)
{
    auto config = sample_configuration();
    auto& slow = config.groups[group_name{"slow"}];
    slow.service = service_name{"gone"};
    slow.endpoints = {sample_endpoint("lm-1", 9001)};
    auto& records = config.groups[group_name{"records"}];
    records.endpoints = {sample_endpoint("bad id", 0)};
    records.endpoints[0].address.ip = "registru.example";
    EXPECT_THAT(
        briefs(config),
        ElementsAre(
            "E endpoint bad id: address", "E endpoint bad id: address",
            "E endpoint bad id: id", "E endpoint lm-1: address",
            "E endpoint lm-1: id", "E group slow: service"));
}

TEST(configuration_check, reports_selectors_that_are_shadowed_or_match_nothing)
{
    auto config = sample_configuration();
    add(config, pool_selector("a-wide", 5, "fast"));
    add(config, pool_selector("b-shadowed", 4, "slow"));
    auto overlapping = pool_selector("c-overlaps", 5, "slow");
    overlapping.services.clear();
    add(config, overlapping);
    auto nothing = pool_selector("d-nothing", 9, "none");
    nothing.customers = {customer_id{"one"}};
    nothing.models = {model_name{"unlisted"}};
    nothing.services.push_back(service_name{"gone"});
    add(config, nothing);
    EXPECT_THAT(
        briefs(config),
        ElementsAre(
            "W selector a-wide: precedence",
            "W selector b-shadowed: precedence",
            "W selector b-shadowed: precedence", "W selector d-nothing: models",
            "W selector d-nothing: requirements",
            "E selector d-nothing: services"));
}

TEST(configuration_check, reports_services_and_shares_out_of_range)
{
    auto config = sample_configuration();
    auto& plain = config.services[service_name{"registru"}];
    plain.models = {model_name{"trasee-8b"}};
    plain.non_idempotent_methods = {"post"};
    config.services[service_name{"lm-trasee"}].non_idempotent_methods = {"PUT"};
    config.groups[group_name{"slow"}].endpoints.clear();
    config.shares[customer_id{"c"}] = {customer_id{"c"}, 0};
    EXPECT_THAT(
        briefs(config),
        ElementsAre(
            "W group slow: endpoints",
            "E service lm-trasee: non_idempotent_methods",
            "E service registru: models", "W service registru: models",
            "E service registru: non_idempotent_methods", "E share c: weight"));
}

} // namespace
} // namespace sapphirereel
