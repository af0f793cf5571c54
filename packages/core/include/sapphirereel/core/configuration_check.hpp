/// \file
/// Defines the validation of a whole configuration: every error and warning,
/// each with the object and field that it concerns.
#ifndef SAPPHIREREEL_CORE_CONFIGURATION_CHECK_HPP
#define SAPPHIREREEL_CORE_CONFIGURATION_CHECK_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"

namespace sapphirereel {

/// Returns all findings, sorted. An edit is rejected if the configuration that
/// it leads to has an error; warnings are reported with its verdict.
/// `where.source` names the object, as in `selector night-shift`, and
/// `where.field` the field.
/// Example: `if (has_errors(check_configuration(config))) ...`.
auto check_configuration(configuration const& config) -> findings;

/// Whether one of the findings is an error.
auto has_errors(findings const& found) -> bool;

} // namespace sapphirereel

#endif
