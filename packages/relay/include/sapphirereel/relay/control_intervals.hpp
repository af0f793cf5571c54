/// \file
/// Defines how often daemons report to each other and read the log, by their
/// number: what one daemon sends and receives must not grow with it.
#ifndef SAPPHIREREEL_RELAY_CONTROL_INTERVALS_HPP
#define SAPPHIREREEL_RELAY_CONTROL_INTERVALS_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstddef>

namespace sapphirereel::relay {

/// Time between two reports of a daemon to all others. From a few dozen
/// daemons on it grows with their number, so that each receives a constant
/// number of reports a second.
auto report_interval(std::size_t daemons) -> duration;

/// Time from a change until it is reported; more changes then go with it.
auto report_delay(std::size_t daemons) -> duration;

/// Silence after which a daemon no longer counts as alive.
auto peer_timeout(std::size_t daemons) -> duration;

/// Time between two reads of the log by a daemon that hears its news from
/// others.
auto secondary_read_pause(std::size_t daemons) -> duration;

} // namespace sapphirereel::relay

#endif
