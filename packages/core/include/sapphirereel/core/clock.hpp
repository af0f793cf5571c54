/// \file
/// Defines the time types that the decision functions take as arguments.
#ifndef SAPPHIREREEL_CORE_CLOCK_HPP
#define SAPPHIREREEL_CORE_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace sapphirereel {

/// A duration in microseconds.
using duration = std::chrono::microseconds;

/// Tag of the daemon's monotonic clock. It has no now(): the I/O layer reads
/// the clock and passes the time in.
struct monotonic_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A point in time on one daemon's monotonic clock. Never sent to another
/// process.
using time_point = monotonic_clock::time_point;

/// Wall-clock time in milliseconds since 1970, as in the log service's records
/// and in time-ordered request names.
struct wall_time
{
    std::int64_t milliseconds = 0;
    auto operator<=>(wall_time const&) const = default;
};

} // namespace sapphirereel

#endif
