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

/// Header field with the attempts that a daemon permits the peer to which it
/// forwards a request.
inline constexpr auto permitted_attempts_name = "Sapphirereel-Attempts";

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

/// What a peer states about a request that it forwards.
struct forward_terms
{
    /// Attempts that it permits; none from a peer of an earlier version, or if
    /// the number can't be read.
    std::optional<std::uint32_t> max_attempts;
    auto operator<=>(forward_terms const&) const = default;
};

/// Takes what a peer states out of a forwarded request's header.
auto take_forward_terms(http::field_list& fields) -> forward_terms;

/// Attempts that a peer is permitted of those that are left, 1 or more: one is
/// kept for another peer, as nobody learns what a lost peer has attempted.
auto attempts_for_peer(std::uint32_t max_attempts, std::uint32_t runs)
    -> std::uint32_t;

} // namespace sapphirereel::relay

#endif
