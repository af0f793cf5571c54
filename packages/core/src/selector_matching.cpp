#include "sapphirereel/core/selector_matching.hpp"

#include <algorithm>

namespace sapphirereel {
namespace {

template <class Name>
auto contains(std::vector<Name> const& names, Name const& wanted) -> bool
{
    return std::find(names.begin(), names.end(), wanted) != names.end();
}

/// Whether the list contains the name; an empty list allows every name.
template <class Name>
auto allows(std::vector<Name> const& names, Name const& wanted) -> bool
{
    return names.empty() || contains(names, wanted);
}

auto addressed_services(
    configuration const& config, request_facts const& request)
    -> std::vector<service_name>
{
    auto services = std::vector<service_name>{};
    for (auto const& [name, definition] : config.services)
    {
        auto const addressed = request.service.empty()
                                   ? contains(definition.models, request.model)
                                   : name == request.service;
        if (addressed)
        {
            services.push_back(name);
        }
    }
    return services;
}

auto allows_any(
    std::vector<service_name> const& allowed,
    std::vector<service_name> const& services) -> bool
{
    return std::any_of(services.begin(), services.end(), [&](auto const& name) {
        return allows(allowed, name);
    });
}

/// The reason why the selector does not match the request, or nothing if it
/// does.
auto request_mismatch(
    selector const& candidate,
    request_facts const& request,
    std::vector<service_name> const& services)
    -> std::optional<selector_skip_reason>
{
    if (!allows_any(candidate.services, services))
    {
        return selector_skip_reason::other_service;
    }
    if (!allows(candidate.models, request.model))
    {
        return selector_skip_reason::other_model;
    }
    if (!allows(candidate.customers, request.customer))
    {
        return selector_skip_reason::other_customer;
    }
    return std::nullopt;
}

/// Chooses the selector that applies and records why others do not match.
auto choose_selector(
    configuration const& config, request_facts const& request, routing& outcome)
    -> selector const*
{
    selector const* chosen = nullptr;
    for (auto const& [name, candidate] : config.selectors)
    {
        auto const mismatch =
            request_mismatch(candidate, request, outcome.services);
        if (mismatch)
        {
            outcome.skipped_selectors.push_back({name, *mismatch});
            continue;
        }
        if (chosen == nullptr || candidate.precedence > chosen->precedence)
        {
            chosen = &candidate;
        }
    }
    return chosen;
}

auto record_outranked(
    configuration const& config,
    request_facts const& request,
    selector const& chosen,
    routing& outcome) -> void
{
    for (auto const& [name, candidate] : config.selectors)
    {
        if (name == chosen.name ||
            request_mismatch(candidate, request, outcome.services))
        {
            continue;
        }
        auto const reason = candidate.precedence < chosen.precedence
                                ? selector_skip_reason::lower_precedence
                                : selector_skip_reason::later_name;
        outcome.skipped_selectors.push_back({name, reason});
    }
    std::sort(
        outcome.skipped_selectors.begin(), outcome.skipped_selectors.end());
}

/// The reason why the endpoint is not eligible, or nothing if it is.
auto skip_of_endpoint(
    group const& parent,
    endpoint const& member,
    selector const* chosen,
    std::vector<service_name> const& services)
    -> std::optional<skipped_endpoint>
{
    auto const served =
        contains(services, parent.service) &&
        (chosen == nullptr || allows(chosen->services, parent.service));
    if (!served)
    {
        return skipped_endpoint{
            member.id, endpoint_skip_reason::other_service, {}};
    }
    if (chosen == nullptr)
    {
        return std::nullopt;
    }
    auto const labels = effective_labels(parent, member);
    for (auto const& requirement : chosen->requirements)
    {
        auto const mismatch =
            internal::requirement_mismatch(requirement, labels);
        if (mismatch)
        {
            return skipped_endpoint{member.id, *mismatch, requirement.key};
        }
    }
    return std::nullopt;
}

auto make_eligible(service const& definition, endpoint const& member)
    -> eligible_endpoint
{
    return {
        member.id,
        member.address,
        member.zone,
        definition.name,
        definition.kind,
        definition.checks_fencing,
        definition.resumes_prefix};
}

auto classify_endpoints(
    configuration const& config, selector const* chosen, routing& outcome)
    -> void
{
    for (auto const& [name, parent] : config.groups)
    {
        for (auto const& member : parent.endpoints)
        {
            auto skipped =
                skip_of_endpoint(parent, member, chosen, outcome.services);
            if (skipped)
            {
                outcome.skipped_endpoints.push_back(*std::move(skipped));
                continue;
            }
            outcome.endpoints.push_back(
                make_eligible(config.services.at(parent.service), member));
        }
    }
    std::sort(outcome.endpoints.begin(), outcome.endpoints.end());
    std::sort(
        outcome.skipped_endpoints.begin(), outcome.skipped_endpoints.end());
}

auto unknown_service_finding(request_facts const& request) -> finding
{
    if (request.service.empty())
    {
        return {
            {"request", 0, "model"},
            "no engine service lists the model '" + request.model.str() + "'",
            "add the model to a service, or name the service in the request"};
    }
    return {
        {"request", 0, "service"},
        "there is no service '" + request.service.str() + "'",
        "add it with 'sapphirereelctl services put', or correct the name"};
}

auto no_endpoint_finding(selector const* chosen) -> finding
{
    if (chosen == nullptr)
    {
        return {
            {"request", 0, "service"},
            "the service has no endpoint",
            "add a group with endpoints for it"};
    }
    return {
        {"selector " + chosen->name.str(), 0, "requirements"},
        "no endpoint of the service meets the requirements of the selector",
        "label endpoints as required, or change the selector"};
}

} // namespace

namespace internal {

auto requirement_mismatch(
    label_requirement const& requirement, label_map const& labels)
    -> std::optional<endpoint_skip_reason>
{
    auto const label = labels.find(requirement.key);
    if (requirement.values.empty())
    {
        return label == labels.end()
                   ? std::nullopt
                   : std::optional{endpoint_skip_reason::label_present};
    }
    if (label == labels.end())
    {
        return endpoint_skip_reason::label_absent;
    }
    return contains(requirement.values, label->second)
               ? std::nullopt
               : std::optional{endpoint_skip_reason::label_differs};
}

} // namespace internal

auto effective_labels(group const& parent, endpoint const& member) -> label_map
{
    auto labels = member.labels;
    labels.insert(parent.labels.begin(), parent.labels.end());
    return labels;
}

auto match(configuration const& config, request_facts const& request) -> routing
{
    auto outcome = routing{};
    outcome.services = addressed_services(config, request);
    auto const* chosen = choose_selector(config, request, outcome);
    if (chosen != nullptr)
    {
        outcome.selector = chosen->name;
        record_outranked(config, request, *chosen, outcome);
    }
    classify_endpoints(config, chosen, outcome);
    if (outcome.services.empty())
    {
        outcome.problems.push_back(unknown_service_finding(request));
    }
    else if (outcome.endpoints.empty())
    {
        outcome.problems.push_back(no_endpoint_finding(chosen));
    }
    return outcome;
}

} // namespace sapphirereel
