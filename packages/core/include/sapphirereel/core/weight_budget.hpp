/// \file
/// Defines a cluster-wide rate limit on loads from the model weight store: one
/// lease for each load allowed per minute, each of which permits one load.
/// Not connected to the daemon.
#ifndef SAPPHIREREEL_CORE_WEIGHT_BUDGET_HPP
#define SAPPHIREREEL_CORE_WEIGHT_BUDGET_HPP

#include "sapphirereel/core/lease_table.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sapphirereel {

/// Term of a lease for a load. The lease is neither renewed nor released, and
/// the load starts within `weight_load_start_window`, so that two loads under
/// one lease are at least a minute apart.
inline constexpr duration weight_lease_term = std::chrono::seconds{90};

/// Time after the acquisition of a lease in which its load may start.
inline constexpr duration weight_load_start_window = std::chrono::seconds{30};

/// Name of the budget's lease with this number.
auto weight_lease(std::uint32_t number) -> lease_name;

/// A free lease of the budget, or nothing. Daemons begin their search at
/// different numbers so that they seldom compete for the same lease.
auto find_free_weight_lease(
    lease_table const& table,
    daemon_id const& self,
    std::uint32_t loads_per_minute,
    time_point now) -> std::optional<lease_name>;

} // namespace sapphirereel

#endif
