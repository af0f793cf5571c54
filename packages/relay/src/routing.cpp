#include "sapphirereel/relay/routing.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {

routing_table::routing_table(routing_configuration configuration)
    : configuration_(std::move(configuration))
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
