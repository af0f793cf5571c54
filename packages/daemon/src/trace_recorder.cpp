#include "sapphirereel/daemon/trace_recorder.hpp"

#include "sapphirereel/wire/trace.hpp"

namespace sapphirereel::daemon {

auto trace_recorder::begin(core_settings const& settings, time_point started)
    -> void
{
    auto const lock = std::lock_guard{mutex_};
    recording_ = true;
    text_ = trace_header(settings, started) + "\n";
}

auto trace_recorder::record(
    event const& what, time_point at, actions const& done) -> void
{
    auto const lock = std::lock_guard{mutex_};
    if (!recording_)
    {
        return;
    }
    text_ += trace_line(what, at, done) + "\n";
    recording_ = text_.size() < max_bytes;
}

auto trace_recorder::set_recording(bool on) -> bool
{
    auto const lock = std::lock_guard{mutex_};
    recording_ = recording_ && on;
    return recording_;
}

auto trace_recorder::text() const -> std::string
{
    auto const lock = std::lock_guard{mutex_};
    return text_;
}

} // namespace sapphirereel::daemon
