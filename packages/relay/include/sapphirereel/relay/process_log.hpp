/// \file
/// Defines the log of a relay process: JSON lines on standard output,
/// rate-limited in bytes per second and written without blocking.
#ifndef SAPPHIREREEL_RELAY_PROCESS_LOG_HPP
#define SAPPHIREREEL_RELAY_PROCESS_LOG_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/telemetry/log_line.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Writes a line; returns false if it could not be written completely.
using log_sink = std::function<bool(std::string_view line)>;

/// Writes a line to standard output; returns false if it could not be written
/// completely without blocking.
auto write_to_standard_output(std::string_view line) -> bool;

/// The log of one process. Lines that exceed the rate limit or can't be written
/// are dropped and counted; the next line written states how many.
class process_log
{
public:
    explicit process_log(log_sink sink = write_to_standard_output);

    auto info(
        std::string_view module,
        std::string_view message,
        std::vector<telemetry::log_field> fields = {}) -> void;
    auto warning(
        std::string_view module,
        std::string_view message,
        std::vector<telemetry::log_field> fields = {}) -> void;

    /// Logs a decision about a request.
    auto request(
        std::string_view id,
        std::string_view message,
        std::vector<telemetry::log_field> fields = {}) -> void;

    /// Logs a usual step of a request. Such lines leave half of what is saved
    /// up to the others, so that they do not crowd out what went wrong.
    auto request_step(
        std::string_view id,
        std::string_view message,
        std::vector<telemetry::log_field> fields = {}) -> void;

    /// Number of lines dropped so far.
    [[nodiscard]] auto dropped() const -> std::uint64_t
    {
        return dropped_;
    }

private:
    /// Drops the line if no more than `reserved_bytes` are available.
    auto write(telemetry::log_line line, double reserved_bytes = 0) -> void;
    auto refill(time_point now) -> void;

    log_sink sink_;
    double available_bytes_;
    time_point refilled_at_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t unreported_ = 0;
};

} // namespace sapphirereel::relay

#endif
