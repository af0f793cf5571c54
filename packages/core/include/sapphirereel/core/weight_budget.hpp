/// \file
/// Defines how daemons share the weight store's budget: as many leases as
/// loads a minute, each good for one load.
#ifndef SAPPHIREREEL_CORE_WEIGHT_BUDGET_HPP
#define SAPPHIREREEL_CORE_WEIGHT_BUDGET_HPP

#include "sapphirereel/core/lease_table.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sapphirereel {

/// Term of a load's lease. It is neither renewed nor released, and the load
/// starts within the holder's part of it, so that two loads of one lease are
/// at least a minute apart.
inline constexpr duration weight_lease_term = std::chrono::seconds{90};

/// Time after which a held lease is no longer used to start a load.
inline constexpr duration weight_load_start_window = std::chrono::seconds{30};

/// Name of one of the budget's leases.
auto weight_lease(std::uint32_t number) -> lease_name;

/// A lease of the budget that is free, or nothing. Daemons start at different
/// numbers so that they seldom want the same one.
auto find_free_weight_lease(
    lease_table const& table,
    daemon_id const& self,
    std::uint32_t loads_per_minute,
    time_point now) -> std::optional<lease_name>;

} // namespace sapphirereel

#endif
