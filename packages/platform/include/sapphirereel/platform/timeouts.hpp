/// \file
/// Defines how long a call of the platform may take.
#ifndef SAPPHIREREEL_PLATFORM_TIMEOUTS_HPP
#define SAPPHIREREEL_PLATFORM_TIMEOUTS_HPP

#include "sapphirereel/core/clock.hpp"

namespace sapphirereel::platform {

/// Limits of one call. Each call opens a connection of its own, so that a
/// connection gone silent never holds up the next call.
struct timeouts
{
    /// Until the connection stands.
    duration connect{std::chrono::seconds{1}};
    /// Without a byte of the answer; a long poll's wait comes on top.
    duration answer{std::chrono::seconds{3}};
    auto operator<=>(timeouts const&) const = default;
};

} // namespace sapphirereel::platform

#endif
