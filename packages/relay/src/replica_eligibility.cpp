#include "replica_eligibility.hpp"

namespace sapphirereel::relay {

auto is_eligible(replica const& candidate, replica_table const& table) -> bool
{
    return !candidate.leaving && !table.is_evacuated(candidate);
}

auto is_eligible(
    replica const& candidate,
    service_name const& service,
    replica_table const& table) -> bool
{
    return candidate.service == service && is_eligible(candidate, table);
}

} // namespace sapphirereel::relay
