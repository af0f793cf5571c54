/// \file
/// Defines how arguments set Abseil flags, with all faults reported together.
#ifndef SAPPHIREREEL_CLIENT_FLAG_PARSING_HPP
#define SAPPHIREREEL_CLIENT_FLAG_PARSING_HPP

#include "sapphirereel/client/exit_code.hpp"

#include <string>
#include <vector>

namespace sapphirereel::client {

/// Sets the flags that the arguments name and hands back the other words.
/// A flag is written `--name=value`, `--name value`, or `--name` if it is
/// boolean; dashes in its name stand for underscores. `--` ends the flags.
auto parse_flags(std::vector<std::string> const& arguments)
    -> outcome<std::vector<std::string>>;

} // namespace sapphirereel::client

#endif
