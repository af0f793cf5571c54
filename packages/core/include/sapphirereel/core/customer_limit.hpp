/// \file
/// Defines the adaptive throttle of a customer whose requests are mostly
/// refused: an entry daemon then refuses a part of them itself, without asking
/// any home daemon.
/// Not connected to the daemon.
#ifndef SAPPHIREREEL_CORE_CUSTOMER_LIMIT_HPP
#define SAPPHIREREEL_CORE_CUSTOMER_LIMIT_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <map>

namespace sapphirereel {

/// When a customer is throttled.
struct customer_limit_settings
{
    /// Requests admitted for each one that was placed. Above 1, so that the
    /// home daemons see the excess demand and the customer's share can grow
    /// again.
    double asked_per_placed = 1.5;
    /// Time after which an observation has half of its weight.
    duration half_life = std::chrono::seconds(10);
    /// Requests admitted beyond that ratio, such as a customer's first ones.
    double free_requests = 10;
    auto operator<=>(customer_limit_settings const&) const = default;
};

/// Adaptive throttle of each customer at one entry daemon. The home daemons
/// decide the shares; the throttle follows their replies only, and so limits a
/// large customer over all entry daemons without messages of its own.
class customer_limit
{
public:
    static auto create(customer_limit_settings const& settings)
        -> result<customer_limit>;

    /// Counts a request, whether it is admitted or not.
    auto asked(customer_id const& customer, time_point now) -> void;

    /// Counts a request that got a place.
    auto placed(customer_id const& customer, time_point now) -> void;

    /// Probability with which the next request is to be refused.
    [[nodiscard]] auto refusal_probability(
        customer_id const& customer, time_point now) const -> double;

    /// Drops customers whose requests have decayed to a negligible count.
    auto expire(time_point now) -> void;

private:
    struct counts
    {
        double asked = 0;
        double placed = 0;
        time_point at{};
    };

    explicit customer_limit(customer_limit_settings const& settings)
        : settings_(settings)
    {}

    [[nodiscard]] auto decayed(counts const& of, time_point now) const
        -> counts;

    customer_limit_settings settings_;
    std::map<customer_id, counts> customers_;
};

} // namespace sapphirereel

#endif
