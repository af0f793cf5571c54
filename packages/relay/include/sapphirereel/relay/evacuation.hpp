/// \file
/// Defines the changes between two sets of evacuated zones. An operator
/// evacuates a zone by a record of the configuration's stream; its replicas are
/// then sent nothing new.
#ifndef SAPPHIREREEL_RELAY_EVACUATION_HPP
#define SAPPHIREREEL_RELAY_EVACUATION_HPP

#include "sapphirereel/core/identifier.hpp"

#include <set>
#include <string>

namespace sapphirereel::relay {

/// The zones by which two sets of evacuated zones differ.
struct evacuation_change
{
    std::set<zone_name> begun;
    /// Zones that are returned to service.
    std::set<zone_name> ended;
    auto operator<=>(evacuation_change const&) const = default;

    static auto between(
        std::set<zone_name> const& before, std::set<zone_name> const& after)
        -> evacuation_change;

    [[nodiscard]] auto is_empty() const -> bool
    {
        return begun.empty() && ended.empty();
    }
};

/// The names of zones, separated by commas, for log lines.
auto names_of(std::set<zone_name> const& zones) -> std::string;

} // namespace sapphirereel::relay

#endif
