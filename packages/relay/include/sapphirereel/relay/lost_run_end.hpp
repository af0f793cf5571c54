/// \file
/// Defines how it is decided whether a run whose stream was lost has ended. The
/// end of a connection shows nothing: most replicas drop a run whose connection
/// ends, some work on.
#ifndef SAPPHIREREEL_RELAY_LOST_RUN_END_HPP
#define SAPPHIREREEL_RELAY_LOST_RUN_END_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/message_format.hpp"
#include "sapphirereel/relay/migration_call.hpp"

#include <optional>
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

/// The answers to the orders to stop one lost run.
class lost_run_inquiry
{
public:
    explicit lost_run_inquiry(time_point began)
        : began_(began)
    {}

    /// Time that is left for an order.
    [[nodiscard]] auto time_left(time_point now) const -> duration;

    /// Records what came of an order. Returns what became of the run; nothing
    /// if the replica is to be asked again.
    auto record(migration_result const& result, time_point now)
        -> std::optional<lost_run_end>;

    /// Delay before the next order. Doubles with each call.
    auto next_delay() -> duration
    {
        return std::exchange(delay_, delay_ * 2);
    }

    /// What counts as the end of the run when the time is over.
    [[nodiscard]] auto outcome_without_answer() const -> lost_run_end;

private:
    time_point began_;
    duration delay_ = stop_retry_delay;
    unsigned failed_connects_ = 0;
    /// Whether an order has been sent.
    bool was_asked_ = false;
    /// Whether the replica has responded in any way.
    bool has_responded_ = false;
};

} // namespace sapphirereel::relay

#endif
