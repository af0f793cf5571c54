#include "sapphirereel/telemetry/log_line.hpp"

#include <chrono>
#include <cmath>
#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

namespace sapphirereel::telemetry {
namespace {

using ordered_json = nlohmann::ordered_json;

constexpr auto milliseconds_per_second = std::int64_t{1000};

auto level_name(log_level level) -> std::string_view
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

/// Civil time as in RFC 3339, in UTC with milliseconds.
auto time_text(wall_time time) -> std::string
{
    auto const since = std::chrono::milliseconds{time.milliseconds};
    auto const seconds = std::chrono::floor<std::chrono::seconds>(since);
    auto const calendar =
        fmt::gmtime(static_cast<std::time_t>(seconds.count()));
    auto const rest = (since - seconds).count() % milliseconds_per_second;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", calendar, rest);
}

auto to_json(log_value const& value) -> ordered_json
{
    return std::visit(
        [](auto const& held) -> ordered_json {
            using held_type = std::remove_cvref_t<decltype(held)>;
            if constexpr (std::is_same_v<held_type, duration>)
            {
                using milliseconds = std::chrono::duration<double, std::milli>;
                return milliseconds{held}.count();
            }
            else
            {
                return held;
            }
        },
        value);
}

} // namespace

auto format_log_line(log_line const& line) -> std::string
{
    auto out = ordered_json::object();
    out["time"] = time_text(line.time);
    out["level"] = level_name(line.level);
    out["module"] = line.module;
    out["message"] = line.message;
    if (!line.request.empty())
    {
        out["request"] = line.request.str();
    }
    if (line.suppressed > 0)
    {
        out["suppressed"] = line.suppressed;
    }
    for (auto const& field : line.fields)
    {
        if (!out.contains(field.name))
        {
            out[field.name] = to_json(field.value);
        }
    }
    return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

auto finding_line(finding const& found, wall_time now) -> log_line
{
    auto const is_error = found.level == severity::error;
    return {
        now,
        is_error ? log_level::error : log_level::warning,
        "findings",
        found.message,
        {},
        {{"source", found.where.source},
         {"line", found.where.line},
         {"field", found.where.field},
         {"mend", found.mend}}};
}

} // namespace sapphirereel::telemetry
