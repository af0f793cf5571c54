#include "sapphirereel/daemon/logger.hpp"

#include "sapphirereel/telemetry/clocks.hpp"

#include <cstdio>
#include <fmt/format.h>
#include <utility>

namespace sapphirereel::daemon {
namespace {

auto make_line(
    log_level level,
    std::string module,
    std::string message,
    std::vector<log_field> fields) -> log_line
{
    return {{},
            level,
            std::move(module),
            std::move(message),
            {},
            std::move(fields)};
}

} // namespace

auto write_to_standard_error(std::string_view line) -> void
{
    // One call for each line keeps lines of several threads whole.
    fmt::print(stderr, "{}\n", line);
}

auto log_now() -> log_moment
{
    return {telemetry::civil_now(), telemetry::monotonic_now()};
}

logger::logger(log_settings const& settings, log_sink sink)
    : settings_(settings)
    , sink_(std::move(sink))
    , repeats_(settings.repeat_interval)
{}

auto logger::debug(
    std::string module, std::string message, std::vector<log_field> fields)
    -> void
{
    write(
        make_line(
            log_level::debug, std::move(module), std::move(message),
            std::move(fields)),
        log_now());
}

auto logger::info(
    std::string module, std::string message, std::vector<log_field> fields)
    -> void
{
    write(
        make_line(
            log_level::info, std::move(module), std::move(message),
            std::move(fields)),
        log_now());
}

auto logger::warning(
    std::string module, std::string message, std::vector<log_field> fields)
    -> void
{
    write(
        make_line(
            log_level::warning, std::move(module), std::move(message),
            std::move(fields)),
        log_now());
}

auto logger::error(
    std::string module, std::string message, std::vector<log_field> fields)
    -> void
{
    write(
        make_line(
            log_level::error, std::move(module), std::move(message),
            std::move(fields)),
        log_now());
}

auto logger::write(log_line line, log_moment now) -> void
{
    if (!writes(line.level))
    {
        return;
    }
    line.time = now.civil;
    auto const lock = std::lock_guard{mutex_};
    if (line.level >= log_level::warning)
    {
        auto const suppressed =
            repeats_.admit({line.module, line.message}, now.monotonic);
        if (!suppressed)
        {
            return;
        }
        line.suppressed = *suppressed;
    }
    sink_(format_log_line(line));
}

auto logger::writes(log_level level) const -> bool
{
    return level >= settings_.level;
}

} // namespace sapphirereel::daemon
