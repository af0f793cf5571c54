/// \file
/// Defines the review of a configuration before it is published: errors,
/// entries that never match a request, limits that contradict each other, and
/// the differences from the version in force.
#ifndef SAPPHIREREEL_RELAY_CONFIGURATION_REVIEW_HPP
#define SAPPHIREREEL_RELAY_CONFIGURATION_REVIEW_HPP

#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/relay/routing.hpp"

#include <string>
#include <vector>

namespace sapphirereel::relay {

/// The findings of a configuration. Errors are what requests would fail by or
/// never match; warnings are limits that contradict each other and entries
/// without use. `source` names the configuration in their places.
auto review_configuration(
    routing_configuration const& proposed, std::string const& source)
    -> findings;

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

/// The error that a proposed version is not higher than the one in force, so
/// that daemons ignore it; none if it is.
auto review_version(
    routing_configuration const& in_force,
    routing_configuration const& proposed,
    std::string const& source) -> findings;

} // namespace sapphirereel::relay

#endif
