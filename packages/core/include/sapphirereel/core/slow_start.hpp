/// \file
/// Defines slow start: the traffic of a returned replica grows gradually.
#ifndef SAPPHIREREEL_CORE_SLOW_START_HPP
#define SAPPHIREREEL_CORE_SLOW_START_HPP

#include "sapphirereel/core/clock.hpp"

namespace sapphirereel {

/// How the traffic of a returned replica grows.
struct slow_start_settings
{
    /// Time from return to full traffic.
    duration window = std::chrono::seconds(30);
    /// Share of the traffic at return.
    double least_share = 0.1;
    auto operator<=>(slow_start_settings const&) const = default;
};

/// Share of its normal traffic that a replica gets at a time after its
/// return, from `least_share` to 1, rising linearly.
auto slow_start_share(
    slow_start_settings const& settings, time_point returned, time_point now)
    -> double;

} // namespace sapphirereel

#endif
