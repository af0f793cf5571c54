/// \file
/// Defines sums of the loads that daemons have placed on replicas.
#ifndef SAPPHIREREEL_RELAY_LOAD_SUM_HPP
#define SAPPHIREREEL_RELAY_LOAD_SUM_HPP

#include "sapphirereel/relay/replica_table.hpp"

namespace sapphirereel::relay {

/// Adds a load to a sum.
auto add_load(replica_load& sum, replica_load const& load) -> void;

/// Subtracts from a report; a replica without requests is removed from it.
auto subtract_load(
    load_report& report, endpoint_id const& id, replica_load const& load)
    -> void;

/// Load that a report states for a replica; all zero if the report does not
/// name it.
[[nodiscard]] auto load_in(load_report const& report, endpoint_id const& id)
    -> replica_load;

} // namespace sapphirereel::relay

#endif
