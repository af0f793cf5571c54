/// \file
/// Defines the stand-ins' clocks.
#ifndef SAPPHIREREEL_STANDINS_PRESENT_TIME_HPP
#define SAPPHIREREEL_STANDINS_PRESENT_TIME_HPP

#include "sapphirereel/core/clock.hpp"

namespace sapphirereel::standins {

/// The monotonic clock.
inline auto present_time() -> time_point
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since)};
}

/// Civil time.
inline auto present_wall_time() -> wall_time
{
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    auto const milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(since);
    return wall_time{milliseconds.count()};
}

} // namespace sapphirereel::standins

#endif
