/// \file
/// Defines the forecast of how long a stream waits for a replica with room, and
/// how long that wait is useful to its caller.
#ifndef SAPPHIREREEL_RELAY_ROOM_FORECAST_HPP
#define SAPPHIREREEL_RELAY_ROOM_FORECAST_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <deque>
#include <map>
#include <optional>

namespace sapphirereel::relay {

/// The times that a stream's caller states or expects.
struct caller_terms
{
    /// Time from the arrival of the request to its deadline.
    duration deadline{0};
    duration target_latency{0};
    duration target_pause{0};
    auto operator<=>(caller_terms const&) const = default;
};

/// Time from the arrival of a request after which its first event has no
/// recipient: its deadline, or when its caller disconnects.
auto latest_useful_start(caller_terms const& terms) -> duration;

/// Longest time for which a stream is held under competition. Longer than the
/// usual limit for callers that wait longer, because their streams yield to
/// others; ends well before the latest useful start.
auto longest_hold(caller_terms const& terms, duration usual_limit) -> duration;

/// The expected start of a stream that is held.
struct start_forecast
{
    /// Time since the request arrived.
    duration waited{0};
    /// Expected further wait for room.
    duration wait{0};
    /// Time that its own prompt takes.
    duration prefill{0};
    auto operator<=>(start_forecast const&) const = default;
};

/// Whether a stream can start while its caller still waits.
auto starts_for_its_caller(
    start_forecast const& forecast, caller_terms const& terms) -> bool;

/// The rate at which streams of each service found room at this daemon. Only
/// the time in which some found none counts: otherwise the rate is that of the
/// arrivals and says nothing about the room.
class room_forecast
{
public:
    /// Records that a stream found no room. Called several times a second while
    /// any is held for that.
    auto record_full(service_name const& service, time_point now) -> void;

    /// Records that a stream that needs this memory, in tokens, was sent.
    auto record_sent(service_name const& service, double tokens, time_point now)
        -> void;

    /// Expected time until so much memory, in tokens, has been found. None
    /// until enough streams were sent in the presence of streams that found no
    /// room.
    [[nodiscard]] auto expected_wait(
        service_name const& service, double tokens, time_point now) const
        -> std::optional<duration>;

private:
    struct sent_stream
    {
        time_point at;
        double tokens = 0;
    };
    /// The time since which there has always been a stream without room.
    struct full_period
    {
        time_point began_at;
        time_point last_full_at;
        std::deque<sent_stream> sent;
    };

    std::map<service_name, full_period> periods_;
};

} // namespace sapphirereel::relay

#endif
