/// \file
/// Defines configurations, routings, verdicts and findings as text for
/// terminals.
#ifndef SAPPHIREREEL_CLIENT_CONFIGURATION_TEXT_HPP
#define SAPPHIREREEL_CLIENT_CONFIGURATION_TEXT_HPP

#include "sapphirereel/core/configuration_edit.hpp"
#include "sapphirereel/core/selector_matching.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace sapphirereel::client {

auto print_groups(std::ostream& out, configuration const& config) -> void;
auto print_group(std::ostream& out, group const& of) -> void;
auto print_endpoints(std::ostream& out, configuration const& config) -> void;
auto print_services(std::ostream& out, configuration const& config) -> void;
auto print_selectors(std::ostream& out, configuration const& config) -> void;
auto print_shares(std::ostream& out, configuration const& config) -> void;

/// What a request may use, and why the rest was passed over.
auto print_routing(std::ostream& out, routing const& routed) -> void;

/// A verdict and its findings.
auto print_verdict(
    std::ostream& out, edit_id const& id, edit_verdict const& verdict) -> void;

/// Each finding with its place and mend.
auto print_findings(std::ostream& out, findings const& found) -> void;

/// Lines that leave (`- `) and lines that come (`+ `), sorted.
auto print_difference(
    std::ostream& out, configuration const& from, configuration const& to)
    -> void;

/// One line for each property of each object.
auto configuration_lines(configuration const& config)
    -> std::vector<std::string>;

/// Labels as in `key=value,key=value`.
auto labels_text(label_map const& labels) -> std::string;

/// Requirements as in `pool=fast|slow;canary=`.
auto requirements_text(std::vector<label_requirement> const& requirements)
    -> std::string;

} // namespace sapphirereel::client

#endif
