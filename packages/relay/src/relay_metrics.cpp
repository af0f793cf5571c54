#include "sapphirereel/relay/relay_metrics.hpp"

#include <fmt/format.h>
#include <string_view>
#include <utility>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// Upper bounds of the buckets of every histogram.
constexpr auto bounds = std::array<duration, 11>{
    milliseconds{5},     milliseconds{20},    milliseconds{50},
    milliseconds{100},   milliseconds{150},   milliseconds{180},
    milliseconds{400},   milliseconds{1'000}, milliseconds{1'800},
    milliseconds{6'000}, milliseconds{39'000}};

constexpr auto counter_names = std::array<
    std::string_view,
    static_cast<std::size_t>(relay_counter::count_of_counters)>{
    "requests",
    "answers",
    "failures",
    "callers_gone",
    "retries",
    "connections_failed",
    "replica_rejections",
    "responses_to_others",
    "responses_unnamed",
    "replica_backoffs",
    "stream_events",
    "streams_moved",
    "stream_moves_failed",
    "streams_lost",
    "lost_runs_asked",
    "lost_runs_stopped",
    "lost_runs_unknown",
    "lost_run_reports",
    "replaced_records_skipped",
    "crash_memories_told",
    "streams_sent_again",
    "streams_resumed",
    "positions_received",
    "positions_refused",
    "store_calls",
    "store_failures",
    "store_restores",
    "copies_renewed",
    "leaving_responses",
    "peer_reports_sent",
    "peer_bytes_sent",
    "peer_reports_received",
    "peer_fetches",
    "peer_fetches_refused",
    "peer_fetches_failed",
    "part_crashes",
    "part_rulings",
    "permits_asked",
    "permits_issued",
    "permits_denied",
    "paths_lost",
    "forwards",
    "forwards_failed",
    "forwards_received",
    "streams_held",
    "streams_yielded",
    "streams_without_room",
    "zones_evacuated",
    "zones_returned",
    "replicas_turned_cold",
    "invalid_cold_times",
    "invalid_paces",
    "paced_streams",
    "paced_streams_elsewhere",
    "pace_waits",
    "uncertain_choices",
    "copies_refused",
    "piece_requests",
    "piece_requests_refused",
    "piece_requests_failed",
    "copy_bytes_sent",
    "arrivals_rejected",
    "arrivals_without_room",
    "sessions_ended",
    "handler_errors"};

constexpr auto timing_names = std::array<
    std::string_view,
    static_cast<std::size_t>(relay_timing::count_of_timings)>{
    "answer_seconds", "first_event_seconds", "pause_seconds",
    "move_pause_seconds"};

} // namespace

relay_metrics::relay_metrics()
    : timings_{
          telemetry::metrics_histogram{bounds},
          telemetry::metrics_histogram{bounds},
          telemetry::metrics_histogram{bounds},
          telemetry::metrics_histogram{bounds}}
{}

auto relay_metrics::add(relay_counter which, std::uint64_t amount) -> void
{
    counters_[static_cast<std::size_t>(which)] += amount;
}

auto relay_metrics::refused(refusal_reason why) -> void
{
    ++refusals_[static_cast<std::size_t>(why)];
}

auto relay_metrics::incomplete(incomplete_session const& which) -> void
{
    ++incomplete_[static_cast<std::size_t>(which.ended_by)]
                 [static_cast<std::size_t>(which.stage)];
}

auto relay_metrics::observe(relay_timing which, duration length) -> void
{
    timings_[static_cast<std::size_t>(which)].observe(length);
}

auto relay_metrics::set_load_spreads(std::map<service_name, double> spreads)
    -> void
{
    load_spreads_ = std::move(spreads);
}

auto relay_metrics::value(relay_counter which) const -> std::uint64_t
{
    return counters_[static_cast<std::size_t>(which)];
}

auto relay_metrics::page() const -> std::string
{
    auto text = std::string{};
    for (auto at = std::size_t{0}; at < counters; ++at)
    {
        text += fmt::format(
            "sapphirereel_relay_{}_total {}\n", counter_names[at],
            counters_[at]);
    }
    for (auto at = std::size_t{0}; at < reasons; ++at)
    {
        text += fmt::format(
            "sapphirereel_relay_refusals_total{{reason=\"{}\"}} {}\n",
            name_of(static_cast<refusal_reason>(at)), refusals_[at]);
    }
    for (auto end = std::size_t{0}; end < ends; ++end)
    {
        for (auto at = std::size_t{1}; at < stages; ++at)
        {
            text += fmt::format(
                "sapphirereel_relay_incomplete_total{{by=\"{}\",stage=\"{}\"}} "
                "{}\n",
                name_of(static_cast<session_end>(end)),
                name_of(static_cast<session_stage>(at)), incomplete_[end][at]);
        }
    }
    for (auto at = std::size_t{0}; at < timing_names.size(); ++at)
    {
        text += timings_[at].lines(
            fmt::format("sapphirereel_relay_{}", timing_names[at]));
    }
    for (auto const& [service, spread] : load_spreads_)
    {
        text += fmt::format(
            "sapphirereel_relay_load_spread{{service=\"{}\"}} {:.3f}\n",
            service.str(), spread);
    }
    return text;
}

} // namespace sapphirereel::relay
