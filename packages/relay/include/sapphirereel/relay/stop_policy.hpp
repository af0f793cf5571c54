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

/// A moment of a planned stop, as a request arrives.
struct stop_moment
{
    /// Time since the stop request.
    duration stopping_for{0};
    /// Time until requests in progress are cut off.
    duration until_cut{0};
    /// Time until the request's deadline.
    duration until_deadline{0};
    auto operator<=>(stop_moment const&) const = default;
};

/// Whether a request is accepted: the stop must not cut it off before its
/// deadline. A stream is not expected to end in time.
auto accepts_while_stopping(request_kind kind, stop_moment const& at) -> bool;

} // namespace sapphirereel::relay

#endif
