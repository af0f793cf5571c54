#include "sapphirereel/relay/routing.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Ratio of target latencies from which less urgent streams can wait for more
/// urgent ones and still start in time.
constexpr auto min_target_ratio = 2;

/// Shortest and longest target latency of the streams of one priority.
struct target_range
{
    duration shortest = duration::max();
    duration longest{0};
};

using targets_by_priority = std::map<int, target_range>;

auto is_tiered(targets_by_priority const& targets) -> bool
{
    auto shortest = duration::max();
    for (auto const& [priority, range] : targets)
    {
        if (shortest != duration::max() &&
            range.longest >= shortest * min_target_ratio)
        {
            return true;
        }
        shortest = std::min(shortest, range.shortest);
    }
    return false;
}

auto services_with_tiers(std::vector<route> const& routes)
    -> std::set<service_name>
{
    auto targets = std::map<service_name, targets_by_priority>{};
    for (auto const& each : routes)
    {
        if (each.kind != request_kind::stream)
        {
            continue;
        }
        for (auto const& share : each.services)
        {
            auto& range = targets[share.service][each.priority];
            range.shortest = std::min(range.shortest, each.target_latency);
            range.longest = std::max(range.longest, each.target_latency);
        }
    }
    auto tiered = std::set<service_name>{};
    for (auto const& [service, by_priority] : targets)
    {
        if (is_tiered(by_priority))
        {
            tiered.insert(service);
        }
    }
    return tiered;
}

} // namespace

routing_table::routing_table(routing_configuration configuration)
    : configuration_(std::move(configuration))
    , tiered_(services_with_tiers(configuration_.routes))
{
    auto const& routes = configuration_.routes;
    for (auto at = std::size_t{0}; at < routes.size(); ++at)
    {
        by_host_[routes[at].host].push_back(at);
    }
    for (auto& [host, listed] : by_host_)
    {
        std::stable_sort(
            listed.begin(), listed.end(), [&](std::size_t a, std::size_t b) {
                return routes[a].path_prefix.size() >
                       routes[b].path_prefix.size();
            });
    }
    if (configuration_.customers)
    {
        auto const& customers = *configuration_.customers;
        for (auto at = std::size_t{0}; at < customers.size(); ++at)
        {
            for (auto const& key : customers[at].keys)
            {
                by_key_.emplace(key, at);
            }
        }
    }
    for (auto at = std::size_t{0}; at < configuration_.services.size(); ++at)
    {
        by_service_.emplace(configuration_.services[at].name, at);
    }
}

auto routing_table::find_route(
    std::string_view host, std::string_view path) const -> route const*
{
    auto const listed = by_host_.find(host);
    if (listed == by_host_.end())
    {
        return nullptr;
    }
    for (auto const at : listed->second)
    {
        auto const& candidate = configuration_.routes[at];
        if (path.starts_with(candidate.path_prefix))
        {
            return &candidate;
        }
    }
    return nullptr;
}

auto routing_table::find_customer(std::string_view key) const -> customer const*
{
    auto const found = by_key_.find(key);
    return found == by_key_.end() ? nullptr
                                  : &(*configuration_.customers)[found->second];
}

auto routing_table::find_service(service_name const& name) const
    -> service const*
{
    auto const found = by_service_.find(name);
    return found == by_service_.end() ? nullptr
                                      : &configuration_.services[found->second];
}

} // namespace sapphirereel::relay
