/// \file
/// Defines what daemons report to each other about replicas that are cold.
#ifndef SAPPHIREREEL_RELAY_COLD_ENTRY_HPP
#define SAPPHIREREEL_RELAY_COLD_ENTRY_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <cstdint>

namespace sapphirereel::relay {

/// One start of a replica that is cold, as a daemon reports it to its peers.
struct cold_entry
{
    endpoint_id id;
    /// Start time of the replica, Unix time in milliseconds; 0 if unknown.
    std::uint64_t started_at_ms = 0;
    /// Time until it is warm, to the millisecond.
    duration remaining{0};
    auto operator<=>(cold_entry const&) const = default;
};

} // namespace sapphirereel::relay

#endif
