/// \file
/// Defines how it is decided whether a run whose stream was lost has ended. The
/// end of a connection shows nothing: most replicas drop a run whose connection
/// ends, some work on. Silence shows nothing either: an order that was sent may
/// still be carried out, and the replica is within reach as long as connections
/// to it are established.
#ifndef SAPPHIREREEL_RELAY_LOST_RUN_END_HPP
#define SAPPHIREREEL_RELAY_LOST_RUN_END_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/message_format.hpp"
#include "sapphirereel/relay/migration_call.hpp"
#include "sapphirereel/relay/run_report_call.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sapphirereel::relay {

/// Longest time for which a replica is asked to stop a lost run. Callers leave
/// a stream after a pause of about two seconds.
inline constexpr auto max_time_to_stop_lost_run =
    duration{std::chrono::milliseconds{1'500}};

/// Delay before a replica is asked again; it doubles each time.
inline constexpr auto stop_retry_delay =
    duration{std::chrono::milliseconds{40}};

/// Time without an answer to an order after which the replica is asked which
/// runs it has. Longer than it takes to give a connection up.
inline constexpr auto silence_until_report =
    duration{std::chrono::milliseconds{350}};

/// Longest time for the answer to that question.
inline constexpr auto run_report_limit =
    duration{std::chrono::milliseconds{300}};

/// Most that a replica's report is old. A run that has begun within that time
/// may be missing from it.
inline constexpr auto max_run_report_age =
    duration{std::chrono::milliseconds{1'000}};

/// Connections in a row that can't be established in time, after which a
/// replica counts as out of reach. One may fail for the loss of a packet.
inline constexpr auto connects_until_out_of_reach = 2U;

/// What became of a lost run.
enum class lost_run_end
{
    /// The replica has no such run, or can't be reached: it has crashed, or is
    /// cut off.
    gone,
    /// The run was stopped, and its memory is kept.
    stopped,
    /// The replica is there and does not say that the run has ended.
    unknown
};

/// The name of an end in log lines.
auto name_of(lost_run_end what) -> std::string_view;

/// The run that was lost.
struct lost_run
{
    std::string request_id;
    /// When the request was sent to the replica.
    time_point sent_at{};
    auto operator<=>(lost_run const&) const = default;
};

/// What a replica answers about one lost run: to the orders to stop it, and to
/// the questions which runs it has.
class lost_run_inquiry
{
public:
    explicit lost_run_inquiry(time_point began, lost_run which = {})
        : began_(began)
        , run_(std::move(which))
    {}

    /// Time that is left for an order.
    [[nodiscard]] auto time_left(time_point now) const -> duration;

    /// Records what came of an order. Returns what became of the run; nothing
    /// if the replica is to be asked again.
    auto record(migration_result const& result, time_point now)
        -> std::optional<lost_run_end>;

    /// Records what came of a question that was sent at `asked_at`. Returns
    /// what became of the run; nothing if the replica is to be asked again.
    auto record(
        run_report_result const& result, time_point asked_at, time_point now)
        -> std::optional<lost_run_end>;

    /// Delay before the next order. Doubles with each call.
    auto next_delay() -> duration
    {
        return std::exchange(delay_, delay_ * 2);
    }

    /// What counts as the end of the run when the time is over.
    [[nodiscard]] auto outcome_without_answer() const -> lost_run_end;

private:
    /// Records whether a call reached the replica. Returns whether the replica
    /// is found to be out of reach.
    auto is_out_of_reach(call_failure const* failure) -> bool;

    [[nodiscard]] auto shows_end(
        run_report const& report, time_point asked_at) const -> bool;

    /// What the silence means once the time is nearly over.
    [[nodiscard]] auto outcome_if_late(time_point now) const
        -> std::optional<lost_run_end>;

    time_point began_;
    lost_run run_;
    duration delay_ = stop_retry_delay;
    unsigned failed_connects_ = 0;
    /// Whether an order has been sent.
    bool was_asked_ = false;
    /// Whether a connection to the replica has been established.
    bool was_reached_ = false;
};

} // namespace sapphirereel::relay

#endif
