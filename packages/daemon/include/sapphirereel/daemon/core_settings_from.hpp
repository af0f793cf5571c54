/// \file
/// Defines how the settings file's values become settings of the core.
#ifndef SAPPHIREREEL_DAEMON_CORE_SETTINGS_FROM_HPP
#define SAPPHIREREEL_DAEMON_CORE_SETTINGS_FROM_HPP

#include "sapphirereel/composition/daemon_core.hpp"
#include "sapphirereel/daemon/settings.hpp"

#include <cstdint>

namespace sapphirereel::daemon {

/// The core's settings. `id` is new for each start, `seed` drives the random
/// choices.
auto core_settings_from(
    settings const& from, daemon_id const& id, std::uint64_t seed)
    -> core_settings;

} // namespace sapphirereel::daemon

#endif
