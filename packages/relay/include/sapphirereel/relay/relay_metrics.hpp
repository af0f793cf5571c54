/// \file
/// Defines the counters and histograms of a relay and their page in the
/// Prometheus text format.
#ifndef SAPPHIREREEL_RELAY_RELAY_METRICS_HPP
#define SAPPHIREREEL_RELAY_RELAY_METRICS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/relay/request_admission.hpp"
#include "sapphirereel/relay/session_stage.hpp"
#include "sapphirereel/telemetry/metrics_histogram.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace sapphirereel::relay {

/// The counters.
enum class relay_counter
{
    requests,
    answers,
    failures,
    callers_gone,
    retries,
    connections_failed,
    replica_rejections,
    responses_to_others,
    responses_unnamed,
    replica_backoffs,
    stream_events,
    streams_moved,
    stream_moves_failed,
    streams_lost,
    /// Runs whose streams were lost and whose replicas were asked to stop them;
    /// those that were still going on, and those that may be.
    lost_runs_asked,
    lost_runs_stopped,
    lost_runs_unknown,
    lost_run_reports,
    replaced_records_skipped,
    crash_memories_told,
    streams_sent_again,
    streams_resumed,
    positions_received,
    positions_refused,
    store_calls,
    store_failures,
    store_restores,
    copies_renewed,
    leaving_responses,
    peer_reports_sent,
    peer_bytes_sent,
    peer_reports_received,
    peer_fetches,
    /// Fetches that a peer refused, as it sends too much already, and those
    /// that failed otherwise.
    peer_fetches_refused,
    peer_fetches_failed,
    part_crashes,
    part_rulings,
    permits_asked,
    permits_issued,
    permits_denied,
    paths_lost,
    forwards,
    forwards_failed,
    forwards_received,
    streams_held,
    streams_yielded,
    streams_without_room,
    zones_evacuated,
    zones_returned,
    replicas_turned_cold,
    invalid_cold_times,
    invalid_paces,
    paced_streams,
    paced_streams_elsewhere,
    pace_waits,
    /// Choices of a replica that allowed for requests which other daemons have
    /// placed since their reports.
    uncertain_choices,
    copies_refused,
    /// Requests for pieces of large values to peers, those that a peer refused,
    /// as its link is busy, and those that failed otherwise.
    piece_requests,
    piece_requests_refused,
    piece_requests_failed,
    /// Bytes of copies of the log that were handed to connections of peers.
    copy_bytes_sent,
    /// Requests that were refused before they had arrived whole, those of them
    /// for which there was no room, and connections that ended because there
    /// were too many.
    arrivals_rejected,
    arrivals_without_room,
    sessions_ended,
    /// Exceptions of handlers, each of which ended its connection alone.
    handler_errors,
    count_of_counters
};

/// The histograms of times.
enum class relay_timing
{
    /// From the arrival of a request to its complete response.
    answer,
    /// From the arrival of a request to the first event of its stream.
    first_event,
    /// Between two consecutive events of a stream.
    pause,
    /// Between the last event of a run and its first event on the replica that
    /// resumed it.
    move_pause,
    count_of_timings
};

/// All metrics of a relay. Used on the event loop's thread.
class relay_metrics
{
public:
    relay_metrics();

    auto add(relay_counter which, std::uint64_t amount = 1) -> void;
    auto refused(refusal_reason why) -> void;
    auto incomplete(incomplete_session const& which) -> void;
    auto observe(relay_timing which, duration length) -> void;

    /// Replaces the load of each service's busiest replica over the mean of its
    /// replicas.
    auto set_load_spreads(std::map<service_name, double> spreads) -> void;

    [[nodiscard]] auto value(relay_counter which) const -> std::uint64_t;

    /// All metrics in the Prometheus text format.
    [[nodiscard]] auto page() const -> std::string;

private:
    static constexpr auto counters =
        static_cast<std::size_t>(relay_counter::count_of_counters);
    static constexpr auto reasons = count_of_refusal_reasons;

    static constexpr auto stages =
        static_cast<std::size_t>(session_stage::count_of_stages);
    static constexpr auto ends =
        static_cast<std::size_t>(session_end::count_of_ends);

    std::array<std::uint64_t, counters> counters_{};
    std::array<std::uint64_t, reasons> refusals_{};
    /// Connections that ended before their response was complete, by who ended
    /// them and by stage.
    std::array<std::array<std::uint64_t, stages>, ends> incomplete_{};
    std::array<
        telemetry::metrics_histogram,
        static_cast<std::size_t>(relay_timing::count_of_timings)>
        timings_;
    std::map<service_name, double> load_spreads_;
};

} // namespace sapphirereel::relay

#endif
