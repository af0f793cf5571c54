/// \file
/// Defines the recorder of a trace: each event that the core takes, with its
/// time and the actions that it gave, as JSON lines. A trace begins with the
/// process, since a replay begins with an empty core.
#ifndef SAPPHIREREEL_DAEMON_TRACE_RECORDER_HPP
#define SAPPHIREREEL_DAEMON_TRACE_RECORDER_HPP

#include "sapphirereel/composition/daemon_core.hpp"

#include <cstddef>
#include <mutex>
#include <string>

namespace sapphirereel::daemon {

/// Keeps the lines of one trace in memory, up to a bound. Used from the
/// core's thread and the servers'.
class trace_recorder
{
public:
    /// Most bytes of a trace; recording ends there.
    static constexpr auto max_bytes = std::size_t{64} << 20U;

    /// Begins the trace of a new core.
    auto begin(core_settings const& settings, time_point started) -> void;

    /// Takes in a step.
    auto record(event const& what, time_point at, actions const& done) -> void;

    /// Ends the recording. It cannot begin again: false means that no trace
    /// is being recorded.
    auto set_recording(bool on) -> bool;

    /// The lines so far.
    [[nodiscard]] auto text() const -> std::string;

private:
    mutable std::mutex mutex_;
    bool recording_ = false;
    std::string text_;
};

} // namespace sapphirereel::daemon

#endif
