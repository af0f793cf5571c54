/// \file
/// Defines the daemon's metrics and their page in Prometheus' text format.
#ifndef SAPPHIREREEL_DAEMON_METRICS_HPP
#define SAPPHIREREEL_DAEMON_METRICS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/request.hpp"
#include "sapphirereel/telemetry/metrics_histogram.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sapphirereel::daemon {

using telemetry::metrics_histogram;

/// Events that are counted.
enum class counter
{
    requests,
    tokens,
    preemptions,
    retries,
    resumed_streams,
    continued_generations,
    lost_engines,
    outcomes_unknown,
    claims,
    log_appends,
    log_append_failures,
    edits_applied,
    edits_rejected
};

/// Values that rise and fall.
enum class gauge
{
    streams,
    waiting_requests,
    connections,
    live_daemons,
    configuration_offset,
    leases_held
};

/// Times that are measured.
enum class timing
{
    first_token,
    inter_token,
    stall
};

/// Totals that another module keeps and that are copied in before a page is
/// written.
struct control_totals
{
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t messages_dropped = 0;
    std::uint64_t messages_unanswered = 0;
    std::uint64_t connections_silent = 0;
    auto operator<=>(control_totals const&) const = default;
};

/// All metrics of a daemon. May be used from any thread.
///
/// Example:
/// \code
/// all.add(counter::tokens);
/// all.observe(timing::inter_token, now - last_token);
/// \endcode
class metrics
{
public:
    metrics();

    auto add(counter which, std::uint64_t amount = 1) -> void;
    auto add_refusal(refusal_cause cause, disposition outcome) -> void;
    auto set(gauge which, std::int64_t value) -> void;
    auto observe(timing which, duration length) -> void;
    auto set_control(control_totals const& totals) -> void;

    /// The page for `GET /metrics`.
    [[nodiscard]] auto page() const -> std::string;

private:
    static constexpr auto counter_count =
        static_cast<std::size_t>(counter::edits_rejected) + 1;
    static constexpr auto gauge_count =
        static_cast<std::size_t>(gauge::leases_held) + 1;
    static constexpr auto cause_count =
        static_cast<std::size_t>(refusal_cause::draining) + 1;
    static constexpr auto disposition_count =
        static_cast<std::size_t>(disposition::final_answer) + 1;
    static constexpr auto control_count = std::size_t{7};

    std::array<std::atomic<std::uint64_t>, counter_count> counters_{};
    std::array<std::atomic<std::int64_t>, gauge_count> gauges_{};
    std::array<
        std::array<std::atomic<std::uint64_t>, disposition_count>,
        cause_count>
        refusals_{};
    std::array<std::atomic<std::uint64_t>, control_count> control_{};
    std::array<metrics_histogram, 3> timings_;
};

} // namespace sapphirereel::daemon

#endif
