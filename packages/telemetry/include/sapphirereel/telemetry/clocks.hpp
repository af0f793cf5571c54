/// \file
/// Defines the clocks of the process, which only the shell reads.
#ifndef SAPPHIREREEL_TELEMETRY_CLOCKS_HPP
#define SAPPHIREREEL_TELEMETRY_CLOCKS_HPP

#include "sapphirereel/core/clock.hpp"

namespace sapphirereel::telemetry {

/// The present moment. The clock runs on while the machine is suspended, so
/// that a daemon that was paused sees the time that has passed.
auto monotonic_now() -> time_point;

/// The present civil time.
auto civil_now() -> wall_time;

} // namespace sapphirereel::telemetry

#endif
