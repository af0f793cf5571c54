/// \file
/// Defines what daemons report to each other about the pace of replicas.
#ifndef SAPPHIREREEL_RELAY_PACE_ENTRY_HPP
#define SAPPHIREREEL_RELAY_PACE_ENTRY_HPP

#include "sapphirereel/core/identifier.hpp"

#include <cstdint>

namespace sapphirereel::relay {

/// The usual pace of one start of a replica, as a daemon reports it to its
/// peers.
struct pace_entry
{
    endpoint_id id;
    /// Start time of the replica, Unix time in milliseconds; 0 if unknown.
    std::uint64_t started_at_ms = 0;
    /// Time that work takes on the replica's machine, in percent of the usual
    /// time.
    double usual_pace = 100;
    auto operator<=>(pace_entry const&) const = default;
};

} // namespace sapphirereel::relay

#endif
