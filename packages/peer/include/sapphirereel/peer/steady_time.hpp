/// \file
/// Defines the reading of the monotonic clock for this package's timers.
#ifndef SAPPHIREREEL_PEER_STEADY_TIME_HPP
#define SAPPHIREREEL_PEER_STEADY_TIME_HPP

#include "sapphirereel/core/clock.hpp"

#include <chrono>

namespace sapphirereel::peer::internal {

/// The present moment.
inline auto steady_now() -> time_point
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since)};
}

/// The same moment on the clock of Asio's timers.
inline auto timer_time(time_point moment)
    -> std::chrono::steady_clock::time_point
{
    return std::chrono::steady_clock::time_point{moment.time_since_epoch()};
}

} // namespace sapphirereel::peer::internal

#endif
