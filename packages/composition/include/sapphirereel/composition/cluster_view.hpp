/// \file
/// Defines cluster_view, the inputs of a daemon's decisions: the live daemons,
/// the home daemon of each replica and the leaving endpoints.
#ifndef SAPPHIREREEL_COMPOSITION_CLUSTER_VIEW_HPP
#define SAPPHIREREEL_COMPOSITION_CLUSTER_VIEW_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/membership_event.hpp"
#include "sapphirereel/core/placement_candidate.hpp"

#include <map>
#include <set>
#include <vector>

namespace sapphirereel {

/// The home daemon of each engine replica, chosen by rendezvous hashing over
/// the live daemons. Daemons with the same view of the members agree on it.
using home_map = std::map<endpoint_id, daemon_id>;

/// A snapshot of one daemon's view of the cluster.
struct cluster_view
{
    daemon_id self;
    zone_name zone;
    /// Zones of this daemon's region, as far as known from its daemons.
    std::set<zone_name> region_zones;
    std::vector<daemon_id> live;
    home_map homes;
    std::set<endpoint_id> leaving;
    auto operator<=>(cluster_view const&) const = default;
};

/// Returns the home daemon of every engine replica in the configuration.
auto homes_of(configuration const& config, std::vector<daemon_id> const& live)
    -> home_map;

/// Distance of a zone from the daemon that holds the view.
auto distance_to(cluster_view const& view, zone_name const& zone)
    -> zone_distance;

/// Zones of the members in a region.
auto zones_of(std::vector<member> const& members, region_name const& region)
    -> std::set<zone_name>;

/// The daemon that keeps a replica's ledger; empty if no daemon is live.
auto home_of(cluster_view const& view, endpoint_id const& replica) -> daemon_id;

} // namespace sapphirereel

#endif
