/// \file
/// Defines a small sample configuration for tests.
#ifndef SAPPHIREREEL_TEST_CONFIGURATION_SAMPLES_HPP
#define SAPPHIREREEL_TEST_CONFIGURATION_SAMPLES_HPP

#include "sapphirereel/core/configuration.hpp"

#include <string>

namespace sapphirereel {

inline auto sample_endpoint(std::string id, std::uint16_t port) -> endpoint
{
    return {
        endpoint_id{std::move(id)},
        {"127.0.0.1", port},
        zone_name{"brasov-a"},
        {}};
}

/// An engine service with a fast and a slow group, and a plain service.
inline auto sample_configuration() -> configuration
{
    auto config = configuration{};
    auto const lm = service_name{"lm-trasee"};
    auto const registru = service_name{"registru"};
    config.services[lm] = {
        lm, service_kind::engine, {model_name{"trasee-8b"}}, {}, true, true};
    config.services[registru] = {
        registru, service_kind::plain, {}, {"POST"}, false, false};
    config.groups[group_name{"fast"}] = {
        group_name{"fast"},
        lm,
        {{"pool", "fast"}},
        {sample_endpoint("lm-1", 9001), sample_endpoint("lm-2", 9002)}};
    config.groups[group_name{"slow"}] = {
        group_name{"slow"},
        lm,
        {{"pool", "slow"}},
        {sample_endpoint("lm-3", 9003)}};
    config.groups[group_name{"records"}] = {
        group_name{"records"}, registru, {}, {sample_endpoint("reg-1", 9004)}};
    return config;
}

/// A selector for endpoints of the sample's engine service with one value of
/// the label `pool`.
inline auto pool_selector(
    std::string name, std::int32_t precedence, std::string pool) -> selector
{
    auto made = selector{};
    made.name = selector_name{std::move(name)};
    made.precedence = precedence;
    made.services = {service_name{"lm-trasee"}};
    made.requirements = {{"pool", {std::move(pool)}}};
    return made;
}

inline auto add(configuration& config, selector made) -> void
{
    auto const name = made.name;
    config.selectors[name] = std::move(made);
}

} // namespace sapphirereel

#endif
