/// \file
/// Defines a daemon's share of the retry budget of a service, so that the sum
/// over all daemons keeps to the budget without their talking to each other.
#ifndef SAPPHIREREEL_RELAY_RETRY_SHARE_HPP
#define SAPPHIREREEL_RELAY_RETRY_SHARE_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstddef>
#include <deque>

namespace sapphirereel::relay {

/// The budget that all daemons share.
struct retry_budget_terms
{
    /// Retries for each request of the window.
    double ratio = 0.2;
    /// Retries of the window that need no request.
    double slack = 0;
    duration window{std::chrono::seconds{10}};
    auto operator<=>(retry_budget_terms const&) const = default;
};

/// Counts the requests and the retries of one service at one daemon.
class retry_share
{
public:
    explicit retry_share(retry_budget_terms const& terms);

    /// Counts a request of a caller.
    auto record_request(time_point now) -> void;

    /// Takes a retry; false where the share is used up. `daemons` is the
    /// largest number of daemons that may share the slack.
    auto try_spend(std::size_t daemons, time_point now) -> bool;

private:
    auto expire(time_point now) -> void;

    retry_budget_terms terms_;
    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

} // namespace sapphirereel::relay

#endif
