/// \file
/// Defines which daemons' addresses a caller is given.
#ifndef SAPPHIREREEL_RELAY_ADDRESS_SELECTION_HPP
#define SAPPHIREREEL_RELAY_ADDRESS_SELECTION_HPP

#include "sapphirereel/core/identifier.hpp"

#include <string>
#include <vector>

namespace sapphirereel::relay {

/// Most addresses in one answer. Callers may use no more of a longer list than
/// its beginning, which would leave the other daemons without work.
inline constexpr auto max_listed_addresses = std::size_t{64};

/// Number of daemons of the caller's zone from which on it is given only those
/// in a large fleet. Fewer may all be gone before the caller asks again.
inline constexpr auto min_daemons_of_one_zone = std::size_t{8};

/// A daemon that accepts callers.
struct ready_daemon
{
    std::string caller_address;
    zone_name zone;
    auto operator<=>(ready_daemon const&) const = default;
};

/// Which of the ready daemons a daemon knows.
enum class fleet_view
{
    /// All of them.
    whole,
    /// Those of its zone, and a few of each other zone, which change.
    own_zone
};

/// The addresses to give to callers of a zone, not more than
/// `max_listed_addresses`: those of all daemons, the zone's own first, so that
/// the zones share their load. With a view of the own zone only its daemons, if
/// there are enough. The choice does not depend on the order of `ready`, so
/// that callers get the same list from every daemon of a zone and keep their
/// connections.
auto select_addresses(
    std::vector<ready_daemon> ready, zone_name const& zone, fleet_view view)
    -> std::vector<std::string>;

} // namespace sapphirereel::relay

#endif
