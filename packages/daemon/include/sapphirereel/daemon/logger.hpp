/// \file
/// Defines the daemon's log: JSON lines on standard error.
#ifndef SAPPHIREREEL_DAEMON_LOGGER_HPP
#define SAPPHIREREEL_DAEMON_LOGGER_HPP

#include "sapphirereel/daemon/log_repeat_limit.hpp"
#include "sapphirereel/daemon/settings.hpp"
#include "sapphirereel/telemetry/log_line.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::daemon {

using telemetry::finding_line;
using telemetry::format_log_line;
using telemetry::log_field;
using telemetry::log_line;

/// Takes each finished line, without its line break.
using log_sink = std::function<void(std::string_view line)>;

/// Writes a line to standard error.
auto write_to_standard_error(std::string_view line) -> void;

/// The two clocks of a line: civil time to show, monotonic time to limit
/// repetitions.
struct log_moment
{
    wall_time civil;
    time_point monotonic;
    auto operator<=>(log_moment const&) const = default;
};

/// The present moment on both clocks.
auto log_now() -> log_moment;

/// Writes lines of enough weight. Warnings and errors with equal module and
/// message are written once in an interval, with the count of those left out.
/// May be used from any thread.
///
/// Example:
/// \code
/// log.warning("peer", "connection silent", {{"peer", address}});
/// \endcode
class logger
{
public:
    explicit logger(
        log_settings const& settings, log_sink sink = write_to_standard_error);

    auto debug(
        std::string module,
        std::string message,
        std::vector<log_field> fields = {}) -> void;
    auto info(
        std::string module,
        std::string message,
        std::vector<log_field> fields = {}) -> void;
    auto warning(
        std::string module,
        std::string message,
        std::vector<log_field> fields = {}) -> void;
    auto error(
        std::string module,
        std::string message,
        std::vector<log_field> fields = {}) -> void;

    /// Writes a line at a given moment; the moment replaces the line's time.
    auto write(log_line line, log_moment now) -> void;

    /// Whether lines of a level are written, to spare the work for them.
    [[nodiscard]] auto writes(log_level level) const -> bool;

private:
    log_settings settings_;
    log_sink sink_;
    std::mutex mutex_;
    log_repeat_limit repeats_;
};

} // namespace sapphirereel::daemon

#endif
