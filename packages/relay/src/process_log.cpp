#include "sapphirereel/relay/process_log.hpp"

#include "sapphirereel/telemetry/clocks.hpp"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Bytes a second that the log may take, and the most saved up.
constexpr auto bytes_per_second = 48'000.0;
constexpr auto most_saved_bytes = 192'000.0;

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
    , budget_bytes_(most_saved_bytes)
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
    write(
        {telemetry::civil_now(), telemetry::log_level::info, "request",
         std::string{message}, request_name{std::string{id}}, std::move(fields),
         0});
}

auto process_log::refill(time_point now) -> void
{
    auto const seconds =
        std::chrono::duration<double>(std::max(duration{0}, now - filled_at_));
    budget_bytes_ = std::min(
        most_saved_bytes, budget_bytes_ + bytes_per_second * seconds.count());
    filled_at_ = now;
}

auto process_log::write(telemetry::log_line line) -> void
{
    refill(telemetry::monotonic_now());
    if (budget_bytes_ <= 0)
    {
        ++dropped_;
        ++unreported_;
        return;
    }
    line.suppressed = unreported_;
    auto const text = telemetry::format_log_line(line);
    budget_bytes_ -= static_cast<double>(text.size());
    if (sink_(text))
    {
        unreported_ = 0;
        return;
    }
    ++dropped_;
    ++unreported_;
}

} // namespace sapphirereel::relay
