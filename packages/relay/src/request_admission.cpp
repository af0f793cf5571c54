#include "sapphirereel/relay/request_admission.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Retry delay while a daemon that has just started has no configuration.
constexpr auto retry_without_configuration =
    duration{std::chrono::milliseconds{300}};

auto path_of(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

auto host_of(std::string_view host) -> std::string_view
{
    return host.substr(0, host.find(':'));
}

} // namespace

auto name_of(refusal_reason reason) -> std::string_view
{
    switch (reason)
    {
    case refusal_reason::no_configuration:
        return "no_configuration";
    case refusal_reason::no_route:
        return "no_route";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::no_replica:
        return "no_replica";
    case refusal_reason::overload:
        return "overload";
    case refusal_reason::retry_budget:
        return "retry_budget";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::stopping:
        return "stopping";
    case refusal_reason::crashes_replicas:
        return "crashes_replicas";
    case refusal_reason::replicas_busy:
        return "replicas_busy";
    case refusal_reason::replicas_limited:
        return "replicas_limited";
    case refusal_reason::zone_evacuated:
        return "zone_evacuated";
    }
    return "unknown";
}

auto admit(
    std::shared_ptr<routing_table const> const& table,
    caller_request const& request,
    time_point now) -> tl::expected<grant, refusal>
{
    if (!table)
    {
        return tl::unexpected(refusal{
            refusal_reason::no_configuration, 503,
            retry_without_configuration});
    }
    auto const* const found =
        table->find_route(host_of(request.host), path_of(request.target));
    if (found == nullptr)
    {
        return tl::unexpected(
            refusal{refusal_reason::no_route, 404, std::nullopt});
    }
    auto granted = grant{
        table, found, std::nullopt, now + found->timeout, found->priority};
    granted.max_attempts = found->max_attempts;
    auto const checks_keys =
        table->configuration().customers && !found->needs_no_key;
    if (checks_keys)
    {
        auto const* const holder = table->find_customer(request.credential);
        if (holder == nullptr)
        {
            return tl::unexpected(
                refusal{refusal_reason::unknown_key, 401, std::nullopt});
        }
        granted.customer = holder->name;
        granted.priority = holder->priority.value_or(found->priority);
    }
    if (request.caller_timeout)
    {
        granted.deadline =
            std::min(granted.deadline, now + *request.caller_timeout);
    }
    return granted;
}

} // namespace sapphirereel::relay
