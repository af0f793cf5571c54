/// \file
/// Defines the search for the known name that a misspelt one is nearest to.
#ifndef SAPPHIREREEL_DAEMON_SETTINGS_SUGGESTION_HPP
#define SAPPHIREREEL_DAEMON_SETTINGS_SUGGESTION_HPP

#include <cstddef>
#include <string_view>
#include <vector>

namespace sapphirereel::daemon::internal {

/// Edits (insertion, deletion, replacement) that turn one word into another.
auto edit_distance(std::string_view a, std::string_view b) -> std::size_t;

/// The known name with the fewest edits from a word, the first of equals;
/// empty when there is none.
auto nearest_name(
    std::string_view word, std::vector<std::string_view> const& known)
    -> std::string_view;

} // namespace sapphirereel::daemon::internal

#endif
