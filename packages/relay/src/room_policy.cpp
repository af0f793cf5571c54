#include "sapphirereel/relay/room_policy.hpp"

#include <algorithm>
#include <set>

namespace sapphirereel::relay {
namespace {

/// Length of the intervals in which arrivals are added up.
constexpr auto interval_length = duration{std::chrono::seconds{1}};

auto is_recent(time_point begin, time_point now) -> bool
{
    return now - begin <= room_demand_window;
}

auto serves(route const& which, service_name const& service) -> bool
{
    return which.kind == request_kind::stream &&
           std::any_of(
               which.services.begin(), which.services.end(),
               [&](auto const& each) { return each.service == service; });
}

} // namespace

auto room_policy::record_arrival(
    service_name const& service, room_demand const& demand, time_point now)
    -> void
{
    auto& held = arrivals_[service][demand.priority];
    while (!held.empty() && !is_recent(held.front().begin, now))
    {
        held.pop_front();
    }
    if (held.empty() || now - held.back().begin >= interval_length)
    {
        held.push_back({now, 0});
    }
    held.back().token_seconds +=
        demand.tokens *
        std::chrono::duration<double>(demand.target_latency).count();
}

auto room_policy::reserved_share(
    service_name const& service,
    int priority,
    room_supply const& supply,
    time_point now) const -> double
{
    auto const found = arrivals_.find(service);
    auto const capacity =
        static_cast<double>(supply.replicas) * supply.memory_tokens;
    if (found == arrivals_.end() || capacity <= 0)
    {
        return 0;
    }
    auto token_seconds = 0.0;
    for (auto const& [urgency, held] : found->second)
    {
        for (auto const& each : held)
        {
            auto const counts =
                urgency < priority && is_recent(each.begin, now);
            token_seconds += counts ? each.token_seconds : 0;
        }
    }
    auto const tokens =
        token_seconds /
        std::chrono::duration<double>(room_demand_window).count();
    return std::min(
        max_reserved_share,
        tokens * static_cast<double>(supply.daemons) / capacity);
}

auto room_policy::has_several_priorities(
    service_name const& service, time_point now) const -> bool
{
    auto const found = arrivals_.find(service);
    if (found == arrivals_.end())
    {
        return false;
    }
    return std::count_if(
               found->second.begin(), found->second.end(),
               [&](auto const& each) {
                   return !each.second.empty() &&
                          is_recent(each.second.back().begin, now);
               }) > 1;
}

auto allows_several_priorities(
    routing_configuration const& configuration, service_name const& service)
    -> bool
{
    auto priorities = std::set<int>{};
    for (auto const& each : configuration.routes)
    {
        if (serves(each, service))
        {
            priorities.insert(each.priority);
        }
    }
    if (priorities.empty() || !configuration.customers)
    {
        return priorities.size() > 1;
    }
    for (auto const& each : *configuration.customers)
    {
        if (each.priority)
        {
            priorities.insert(*each.priority);
        }
    }
    return priorities.size() > 1;
}

} // namespace sapphirereel::relay
