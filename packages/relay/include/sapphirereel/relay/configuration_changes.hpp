/// \file
/// Defines the differences between two versions of a configuration, as lines
/// for an operator.
#ifndef SAPPHIREREEL_RELAY_CONFIGURATION_CHANGES_HPP
#define SAPPHIREREEL_RELAY_CONFIGURATION_CHANGES_HPP

#include "sapphirereel/relay/routing.hpp"

#include <string>
#include <vector>

namespace sapphirereel::relay {

/// How an entry of a configuration differs from the version in force.
enum class change_kind
{
    added,
    removed,
    changed
};

/// One entry that differs, as a line for an operator. Keys of customers are
/// counted, not shown.
struct configuration_change
{
    change_kind kind = change_kind::changed;
    /// The entry, as `route NAME`, `service NAME` or `customer NAME`.
    std::string entry;
    /// What differs, as `field: before -> after`; empty for entries that were
    /// added or removed.
    std::vector<std::string> fields;
    auto operator<=>(configuration_change const&) const = default;
};

/// What differs from the version in force, by kind of entry and name.
auto changes_between(
    routing_configuration const& in_force,
    routing_configuration const& proposed) -> std::vector<configuration_change>;

} // namespace sapphirereel::relay

#endif
