#include "sapphirereel/relay/process_log.hpp"

#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Rate limit of the log, in bytes per second, and the maximum burst, in bytes.
constexpr auto max_bytes_per_second = 48'000.0;
constexpr auto max_burst_bytes = 192'000.0;

/// Bytes of the burst that usual steps of requests leave to other lines.
constexpr auto reserved_burst_bytes = max_burst_bytes / 2;

auto request_line(
    std::string_view id,
    std::string_view message,
    std::vector<telemetry::log_field> fields) -> telemetry::log_line
{
    return {
        telemetry::civil_now(),
        telemetry::log_level::info,
        "request",
        std::string{message},
        request_name{std::string{id}},
        std::move(fields),
        0};
}

} // namespace

auto write_to_standard_output(std::string_view line) -> bool
{
    static auto const flags = [] {
        auto const before = ::fcntl(STDOUT_FILENO, F_GETFL);
        return before < 0
                   ? before
                   : ::fcntl(STDOUT_FILENO, F_SETFL, before | O_NONBLOCK);
    }();
    std::ignore = flags;
    auto text = std::string{line};
    text.push_back('\n');
    return ::write(STDOUT_FILENO, text.data(), text.size()) ==
           static_cast<ssize_t>(text.size());
}

process_log::process_log(log_sink sink)
    : sink_(std::move(sink))
    , available_bytes_(max_burst_bytes)
{}

auto process_log::info(
    std::string_view module,
    std::string_view message,
    std::vector<telemetry::log_field> fields) -> void
{
    write(
        {telemetry::civil_now(), telemetry::log_level::info,
         std::string{module}, std::string{message}, request_name{},
         std::move(fields), 0});
}

auto process_log::warning(
    std::string_view module,
    std::string_view message,
    std::vector<telemetry::log_field> fields) -> void
{
    write(
        {telemetry::civil_now(), telemetry::log_level::warning,
         std::string{module}, std::string{message}, request_name{},
         std::move(fields), 0});
}

auto process_log::request(
    std::string_view id,
    std::string_view message,
    std::vector<telemetry::log_field> fields) -> void
{
    write(request_line(id, message, std::move(fields)));
}

auto process_log::request_step(
    std::string_view id,
    std::string_view message,
    std::vector<telemetry::log_field> fields) -> void
{
    write(request_line(id, message, std::move(fields)), reserved_burst_bytes);
}

auto process_log::refill(time_point now) -> void
{
    auto const seconds = std::chrono::duration<double>(
        std::max(duration{0}, now - refilled_at_));
    available_bytes_ = std::min(
        max_burst_bytes,
        available_bytes_ + max_bytes_per_second * seconds.count());
    refilled_at_ = now;
}

auto process_log::write(telemetry::log_line line, double reserved_bytes) -> void
{
    refill(telemetry::monotonic_now());
    if (available_bytes_ <= reserved_bytes)
    {
        ++dropped_;
        ++unreported_;
        return;
    }
    line.suppressed = unreported_;
    auto const text = telemetry::format_log_line(line);
    available_bytes_ -= static_cast<double>(text.size());
    if (sink_(text))
    {
        unreported_ = 0;
        return;
    }
    ++dropped_;
    ++unreported_;
}

} // namespace sapphirereel::relay
