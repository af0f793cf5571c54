/// \file
/// Defines the check for settings that are each valid but clash.
#ifndef SAPPHIREREEL_DAEMON_SETTINGS_CONFLICTS_HPP
#define SAPPHIREREEL_DAEMON_SETTINGS_CONFLICTS_HPP

#include "sapphirereel/daemon/settings.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::daemon::internal {

/// Two settings that clash, each as `section.key`. The finding is reported at
/// the first.
struct settings_conflict
{
    std::string_view field;
    std::string_view other_field;
    std::string message;
    std::string mend;
    auto operator<=>(settings_conflict const&) const = default;
};

/// All pairs that clash. A pair with a value that could not be read is judged
/// by its empty value; the caller leaves such pairs out.
auto settings_conflicts(settings const& values)
    -> std::vector<settings_conflict>;

} // namespace sapphirereel::daemon::internal

#endif
