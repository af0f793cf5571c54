#include "crash_report.hpp"

#include <string>

namespace sapphirereel {

namespace {

/// Crashes of one endpoint in the same interval of this length count as one.
constexpr auto crash_window = std::chrono::milliseconds{10'000};

} // namespace

auto name_crash(endpoint_id const& endpoint, wall_time seen) -> digest
{
    auto const window = seen.milliseconds / crash_window.count();
    return digest{endpoint.str() + "@" + std::to_string(window)};
}

auto report_crash(
    endpoint_id const& endpoint,
    digest const& content,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto const message =
        crash_message{name_crash(endpoint, context.wall_now), {content}};
    if (context.poison_detector.record_crash(message, now))
    {
        broadcast(context.cluster, message, outputs);
    }
}

auto report_completion(
    digest const& content,
    decision_context const& context,
    time_point now,
    component_outputs& outputs) -> void
{
    auto const cleared =
        context.poison_detector.record_completion(content, now);
    if (cleared)
    {
        broadcast(context.cluster, *cleared, outputs);
    }
}

} // namespace sapphirereel
