/// \file
/// Defines what daemons report to each other about requests that wait for room.
#ifndef SAPPHIREREEL_RELAY_WAITING_ENTRY_HPP
#define SAPPHIREREEL_RELAY_WAITING_ENTRY_HPP

#include "sapphirereel/core/identifier.hpp"

#include <cstdint>

namespace sapphirereel::relay {

/// The requests of one priority that wait at a daemon for a replica of a
/// service with room.
struct waiting_entry
{
    service_name service;
    /// 0 is the most urgent.
    int priority = 0;
    std::uint32_t count = 0;
    /// Memory that they need on their replicas together, in tokens.
    double tokens = 0;
    auto operator<=>(waiting_entry const&) const = default;
};

} // namespace sapphirereel::relay

#endif
