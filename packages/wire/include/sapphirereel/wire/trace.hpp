/// \file
/// Defines a recorded trace: the core's settings, then each event with its
/// time and the actions that it gave, as JSON lines; and its replay.
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

/// The line of one event.
auto trace_line(event const& input, time_point at, actions const& performed)
    -> std::string;

/// What a replay showed, counted over all callers of the trace.
struct replay_outcome
{
    std::size_t events = 0;
    /// Events whose actions differ from the recorded ones.
    std::size_t differing = 0;
    /// Line of the first difference; 0 for none.
    std::size_t first_difference = 0;
    std::size_t tokens = 0;
    /// Tokens that were delivered out of order, twice or after the end.
    std::size_t misplaced_tokens = 0;
    std::size_t finished = 0;
    std::size_t refused = 0;
    /// Callers that got more than one end.
    std::size_t ended_twice = 0;
    /// Callers still open at the end of the trace.
    std::size_t open = 0;
    std::size_t calls_sent = 0;
    std::size_t edits_accepted = 0;
    std::size_t edits_rejected = 0;
    auto operator<=>(replay_outcome const&) const = default;
};

/// Steps a new core through a trace and compares.
auto replay(std::istream& lines) -> result<replay_outcome>;

/// The outcome in words, a line each.
auto describe(replay_outcome const& outcome) -> std::string;

} // namespace sapphirereel

#endif
