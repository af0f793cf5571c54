/// \file
/// Defines one line of the daemon's log and its form as JSON.
#ifndef SAPPHIREREEL_TELEMETRY_LOG_LINE_HPP
#define SAPPHIREREEL_TELEMETRY_LOG_LINE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/telemetry/log_level.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace sapphirereel::telemetry {

/// The value of a field. A duration is written in milliseconds.
using log_value = std::
    variant<bool, std::int64_t, std::uint64_t, double, std::string, duration>;

/// A named value of a line.
struct log_field
{
    /// A field takes any integer, text, identifier, flag or duration.
    template <std::signed_integral T>
    log_field(std::string_view field, T number)
        : name(field)
        , value(static_cast<std::int64_t>(number))
    {}

    template <std::unsigned_integral T>
    log_field(std::string_view field, T number)
        : name(field)
        , value(static_cast<std::uint64_t>(number))
    {}

    template <class Tag>
    log_field(std::string_view field, identifier<Tag> const& id)
        : name(field)
        , value(id.str())
    {}

    log_field(std::string_view field, bool flag)
        : name(field)
        , value(flag)
    {}

    log_field(std::string_view field, double number)
        : name(field)
        , value(number)
    {}

    log_field(std::string_view field, std::string text)
        : name(field)
        , value(std::move(text))
    {}

    log_field(std::string_view field, char const* text)
        : name(field)
        , value(std::string{text})
    {}

    log_field(std::string_view field, duration length)
        : name(field)
        , value(length)
    {}

    std::string name;
    log_value value;
    auto operator<=>(log_field const&) const = default;
};

/// One line of the log.
struct log_line
{
    wall_time time;
    log_level level = log_level::info;
    /// The module that writes; with the message it tells faults apart.
    std::string module;
    /// Constant text; what varies is in the fields.
    std::string message;
    /// The request that the line is about, if any.
    request_name request;
    std::vector<log_field> fields;
    /// Equal lines that were left out since the last one written.
    std::uint64_t suppressed = 0;
    auto operator<=>(log_line const&) const = default;
};

/// The line as one JSON object without a line break. Bytes that are not UTF-8
/// are replaced.
auto format_log_line(log_line const& line) -> std::string;

/// The line of a finding.
auto finding_line(finding const& found, wall_time now) -> log_line;

} // namespace sapphirereel::telemetry

#endif
