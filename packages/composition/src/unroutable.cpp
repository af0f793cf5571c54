#include "sapphirereel/composition/unroutable.hpp"

#include "sapphirereel/core/selector_matching.hpp"

#include <string>

namespace sapphirereel {

namespace {

/// Time for an operator to add the missing configuration.
constexpr auto retry_after = duration{std::chrono::seconds{5}};

auto join_messages(findings const& problems) -> std::string
{
    auto joined = std::string{};
    for (auto const& one : problems)
    {
        joined += joined.empty() ? "" : "; ";
        joined += one.message;
    }
    return joined;
}

auto has_configured_service(routing const& route, configuration const& config)
    -> bool
{
    for (auto const& name : route.services)
    {
        if (config.services.contains(name))
        {
            return true;
        }
    }
    return false;
}

} // namespace

auto unroutable(request_facts const& facts, configuration const& config)
    -> std::optional<refusal>
{
    auto const route = match(config, facts);
    if (!route.endpoints.empty())
    {
        return std::nullopt;
    }
    auto const cause = has_configured_service(route, config)
                           ? refusal_cause::no_endpoint
                           : refusal_cause::unknown_service;
    return refusal{
        cause, disposition::not_run, join_messages(route.problems),
        retry_after};
}

} // namespace sapphirereel
