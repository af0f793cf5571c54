/// \file
/// Defines the log of a relay: JSON lines on standard output within a budget
/// of bytes a second, written without blocking.
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

/// Writes a whole line, or says that it could not.
using log_sink = std::function<bool(std::string_view line)>;

/// Writes a line to standard output; false if that would block.
auto write_to_standard_output(std::string_view line) -> bool;

/// The log of one process. A line that exceeds the budget, or that could not be
/// written, is counted; the next one written says how many were left out.
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

    /// A decision that touches a request.
    auto request(
        std::string_view id,
        std::string_view message,
        std::vector<telemetry::log_field> fields = {}) -> void;

    /// Lines left out so far.
    [[nodiscard]] auto dropped() const -> std::uint64_t
    {
        return dropped_;
    }

private:
    auto write(telemetry::log_line line) -> void;
    auto refill(time_point now) -> void;

    log_sink sink_;
    double budget_bytes_;
    time_point filled_at_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t unreported_ = 0;
};

} // namespace sapphirereel::relay

#endif
