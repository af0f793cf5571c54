/// \file
/// Defines JSON as aligned text, for answers whose fields are the daemon's.
#ifndef SAPPHIREREEL_CLIENT_JSON_TEXT_HPP
#define SAPPHIREREEL_CLIENT_JSON_TEXT_HPP

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>

namespace sapphirereel::client {

/// Prints an object: single values as aligned lines, then nested objects
/// indented, lists of objects as tables.
auto print_json_text(
    std::ostream& out,
    nlohmann::json const& value,
    std::string const& indent = {}) -> void;

} // namespace sapphirereel::client

#endif
