/// \file
/// Defines the review of a configuration before it is published: errors,
/// entries that never match a request, limits that contradict each other, and
/// versions that daemons ignore.
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

/// The error that a proposed version is not higher than the one in force, so
/// that daemons ignore it; none if it is.
auto review_version(
    routing_configuration const& in_force,
    routing_configuration const& proposed,
    std::string const& source) -> findings;

} // namespace sapphirereel::relay

#endif
