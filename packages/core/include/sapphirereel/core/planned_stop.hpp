/// \file
/// Defines planned_stop: the phases of a graceful shutdown, in which no request
/// is interrupted.
#ifndef SAPPHIREREEL_CORE_PLANNED_STOP_HPP
#define SAPPHIREREEL_CORE_PLANNED_STOP_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace sapphirereel {

/// Durations of a planned stop.
struct planned_stop_settings
{
    /// Longest validity of an address answer given by any daemon.
    duration address_validity = std::chrono::seconds{10};
    /// Time until every daemon has received notice of the stop.
    duration notice_lag = std::chrono::seconds{5};
    /// Time for open requests to finish before their streams are handed over.
    duration finish_time = std::chrono::seconds{30};
    auto operator<=>(planned_stop_settings const&) const = default;
};

/// Phase of a planned stop.
enum class stop_phase
{
    /// No stop has been requested.
    serving,
    /// Address answers that list this daemon may still be valid: all requests
    /// are served, also on new connections.
    expiring,
    /// No valid answer lists this daemon: open requests finish.
    finishing,
    /// Open streams are handed over to other daemons.
    handing_over,
    /// No request is open; the process may exit.
    stopped
};

/// State machine of one daemon's planned stop. No phase refuses requests: a
/// caller that connects late is still served.
/// Example:
/// ```
/// stop.begin(now);
/// while (stop.step(open_requests, now) != stop_phase::stopped) serve();
/// ```
class planned_stop
{
public:
    static auto create(planned_stop_settings settings) -> result<planned_stop>;

    /// Begins the stop. Further calls have no effect.
    auto begin(time_point now) -> void;

    /// Advances the phase as far as the time and the number of open requests
    /// allow, and returns it.
    auto step(std::size_t open_requests, time_point now) -> stop_phase;

    [[nodiscard]] auto phase() const -> stop_phase;

    /// Whether a stop has begun, so that address answers must not list this
    /// daemon.
    [[nodiscard]] auto begun() const -> bool;

private:
    explicit planned_stop(planned_stop_settings settings);

    planned_stop_settings settings_;
    stop_phase phase_ = stop_phase::serving;
    std::optional<time_point> begun_;
    time_point finishing_since_{};
};

} // namespace sapphirereel

#endif
