#include "sapphirereel/composition/cluster_view.hpp"

#include "sapphirereel/core/rendezvous.hpp"

namespace sapphirereel {

namespace {

auto first_by_weight(
    endpoint_id const& replica, std::vector<daemon_id> const& live) -> daemon_id
{
    auto best = daemon_id{};
    auto best_weight = std::uint64_t{0};
    for (auto const& id : live)
    {
        auto const weight = rendezvous_weight(replica.str(), id.str());
        if (best.empty() || weight > best_weight)
        {
            best = id;
            best_weight = weight;
        }
    }
    return best;
}

auto is_engine(configuration const& config, service_name const& name) -> bool
{
    auto const found = config.services.find(name);
    return found != config.services.end() &&
           found->second.kind == service_kind::engine;
}

} // namespace

auto homes_of(configuration const& config, std::vector<daemon_id> const& live)
    -> home_map
{
    auto homes = home_map{};
    for (auto const& [name, parent] : config.groups)
    {
        if (!is_engine(config, parent.service))
        {
            continue;
        }
        for (auto const& member : parent.endpoints)
        {
            homes.emplace(member.id, first_by_weight(member.id, live));
        }
    }
    return homes;
}

auto distance_to(cluster_view const& view, zone_name const& zone)
    -> zone_distance
{
    if (zone == view.zone)
    {
        return zone_distance::same_zone;
    }
    return view.region_zones.contains(zone) ? zone_distance::same_region
                                            : zone_distance::other_region;
}

auto zones_of(std::vector<member> const& members, region_name const& region)
    -> std::set<zone_name>
{
    auto zones = std::set<zone_name>{};
    for (auto const& one : members)
    {
        if (one.region == region)
        {
            zones.insert(one.zone);
        }
    }
    return zones;
}

auto home_of(cluster_view const& view, endpoint_id const& replica) -> daemon_id
{
    auto const found = view.homes.find(replica);
    return found == view.homes.end() ? daemon_id{} : found->second;
}

} // namespace sapphirereel
