/// \file
/// Defines a daemon's share of a service's retry budget, chosen so that all
/// daemons together keep to the budget without communicating.
#ifndef SAPPHIREREEL_RELAY_RETRY_SHARE_HPP
#define SAPPHIREREEL_RELAY_RETRY_SHARE_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstddef>
#include <deque>

namespace sapphirereel::relay {

/// The retry budget that all daemons share.
struct retry_budget_terms
{
    /// Retries per request within the window.
    double ratio = 0.2;
    /// Retries per window that are allowed independently of requests, for all
    /// daemons together.
    double slack = 0;
    duration window{std::chrono::seconds{10}};
    auto operator<=>(retry_budget_terms const&) const = default;
};

/// Counts one service's requests and retries at one daemon.
class retry_share
{
public:
    explicit retry_share(retry_budget_terms const& terms);

    /// Records a caller's request.
    auto record_request(time_point now) -> void;

    /// Withdraws the latest request: another daemon counts it.
    auto withdraw_request() -> void;

    /// Spends one retry; returns false if the share is used up. `daemons` is
    /// the largest number of daemons that may share the slack.
    auto try_spend(std::size_t daemons, time_point now) -> bool;

private:
    auto expire(time_point now) -> void;

    retry_budget_terms terms_;
    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

} // namespace sapphirereel::relay

#endif
