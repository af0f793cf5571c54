/// \file
/// Defines which replicas accept new work.
#ifndef SAPPHIREREEL_RELAY_REPLICA_ELIGIBILITY_HPP
#define SAPPHIREREEL_RELAY_REPLICA_ELIGIBILITY_HPP

#include "sapphirereel/relay/replica_table.hpp"

namespace sapphirereel::relay {

/// Whether a replica is neither leaving nor in an evacuated zone.
[[nodiscard]] auto is_eligible(
    replica const& candidate, replica_table const& table) -> bool;

/// Whether a replica is eligible and belongs to a service.
[[nodiscard]] auto is_eligible(
    replica const& candidate,
    service_name const& service,
    replica_table const& table) -> bool;

} // namespace sapphirereel::relay

#endif
