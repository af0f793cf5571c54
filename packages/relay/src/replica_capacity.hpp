/// \file
/// Defines the capacity of a replica as the choice of a replica counts it.
#ifndef SAPPHIREREEL_RELAY_REPLICA_CAPACITY_HPP
#define SAPPHIREREEL_RELAY_REPLICA_CAPACITY_HPP

#include "sapphirereel/relay/replica_table.hpp"

#include <algorithm>
#include <cstdint>

namespace sapphirereel::relay {

/// Share of the memory above which a replica is considered full; less than 1
/// because the counts lag behind.
inline constexpr auto full_share = 0.94;

/// Slots of a replica; at least 1, so that loads can be divided by it.
[[nodiscard]] inline auto slots_of(replica const& candidate) -> std::uint32_t
{
    return std::max(1U, candidate.slots);
}

} // namespace sapphirereel::relay

#endif
