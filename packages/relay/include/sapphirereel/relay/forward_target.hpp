/// \file
/// Defines the choice of the peer that a daemon without a path to a service's
/// replicas forwards a request to.
#ifndef SAPPHIREREEL_RELAY_FORWARD_TARGET_HPP
#define SAPPHIREREEL_RELAY_FORWARD_TARGET_HPP

#include "sapphirereel/relay/peer_report.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Name of the field that marks a request which a peer has forwarded; its value
/// is the peer's address. Such a request is not forwarded again.
inline constexpr auto forwarded_by_name = "Sapphirereel-Forwarded-By";

/// Name of the field with which a peer states that it has refused a forwarded
/// request itself, and that no replica runs it; its value is the request's id.
inline constexpr auto refused_by_peer_name =
    std::string_view{"Sapphirereel-Refused-By-Peer"};

/// What a request that is forwarded requires of a peer.
struct forward_need
{
    service_name service;
    /// Zone of this daemon; traffic between zones has a price.
    zone_name zone;
    /// Position of this daemon's configuration. A peer with an older one would
    /// handle the request as only that allows.
    log_position configuration;
    /// Addresses of peers that are not tried again.
    std::set<std::string> excluded;
};

/// Chooses among the peers that are alive and reach the service: by the
/// requests that they have and that this daemon has forwarded to them, and by
/// zone. `forwarded` counts the latter by address.
auto choose_forward_target(
    std::vector<peer_report> const& alive,
    forward_need const& need,
    std::map<std::string, std::size_t> const& forwarded,
    std::mt19937_64& random) -> std::optional<std::string>;

} // namespace sapphirereel::relay

#endif
