/// \file
/// Defines which requests a daemon still accepts during its planned stop.
#ifndef SAPPHIREREEL_RELAY_STOP_POLICY_HPP
#define SAPPHIREREEL_RELAY_STOP_POLICY_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/routing.hpp"

namespace sapphirereel::relay {

/// Time from the stop request for which all requests are accepted, because
/// callers that cache the list of daemons have not learned of the stop.
inline constexpr auto accept_all_for =
    duration{std::chrono::milliseconds{2'000}};

/// Minimum time left before requests are cut off for a request to be accepted.
inline constexpr auto min_time_for_request =
    duration{std::chrono::milliseconds{1'200}};

/// The moments of a planned stop.
struct stop_times
{
    /// When the stop was requested.
    time_point began;
    /// When requests in progress are cut off.
    time_point cut_at;
    auto operator<=>(stop_times const&) const = default;
};

/// Whether a request may begin now: the stop must not cut it off before its
/// deadline. A stream is not expected to end in time.
auto accepts_while_stopping(
    stop_times const& stop,
    request_kind kind,
    time_point deadline,
    time_point now) -> bool;

} // namespace sapphirereel::relay

#endif
