/// \file
/// Defines recording and deterministic replay of a trace: JSON lines with the
/// core's settings first, then each event with its time and resulting actions.
#ifndef SAPPHIREREEL_WIRE_TRACE_HPP
#define SAPPHIREREEL_WIRE_TRACE_HPP

#include "sapphirereel/composition/daemon_core.hpp"

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace sapphirereel {

/// The first line of a trace.
auto trace_header(core_settings const& settings, time_point started)
    -> std::string;

/// The line of one event, with the actions that the core returned for it.
auto trace_line(event const& input, time_point at, actions const& performed)
    -> std::string;

/// Counts over a replayed trace.
struct replay_outcome
{
    std::size_t events = 0;
    /// Events whose actions differ from the recorded ones.
    std::size_t differing = 0;
    /// Line number of the first difference; 0 if there is none.
    std::size_t first_difference = 0;
    std::size_t tokens = 0;
    /// Tokens that were delivered out of order, twice or after the end.
    std::size_t misplaced_tokens = 0;
    /// Finished generations and answered calls.
    std::size_t finished = 0;
    /// Refused requests, also those whose outcome is unknown.
    std::size_t refused = 0;
    /// Requests that ended more than once.
    std::size_t ended_twice = 0;
    /// Requests still open at the end of the trace.
    std::size_t open = 0;
    std::size_t calls_sent = 0;
    /// Edits with a pending verdict are in neither count.
    std::size_t edits_accepted = 0;
    std::size_t edits_rejected = 0;
    auto operator<=>(replay_outcome const&) const = default;
};

/// Replays a trace on a new core and compares the actions with the recorded
/// ones. Returns findings when the trace cannot be read.
auto replay(std::istream& lines) -> result<replay_outcome>;

/// The outcome as text, one line per count.
auto describe(replay_outcome const& outcome) -> std::string;

} // namespace sapphirereel

#endif
