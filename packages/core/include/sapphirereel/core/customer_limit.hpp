/// \file
/// Defines the limit on a customer whose requests are mostly refused: an entry
/// daemon then refuses part of them at once, without asking any home.
#ifndef SAPPHIREREEL_CORE_CUSTOMER_LIMIT_HPP
#define SAPPHIREREEL_CORE_CUSTOMER_LIMIT_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <map>

namespace sapphirereel {

/// How soon a customer is limited.
struct customer_limit_settings
{
    /// Requests let through for each one that was placed. Above 1, so that
    /// the homes see the demand and the share can grow again.
    double asked_per_placed = 1.5;
    /// Time after which an observation has half of its weight.
    duration half_life = std::chrono::seconds(10);
    /// Requests let through before anything was learned.
    double free_requests = 10;
    auto operator<=>(customer_limit_settings const&) const = default;
};

/// Adaptive throttle of each customer at one entry daemon. The homes decide
/// the shares; this one only learns from their answers, and so holds a large
/// customer back over all daemons together without a message of its own.
class customer_limit
{
public:
    static auto create(customer_limit_settings const& settings)
        -> result<customer_limit>;

    /// Counts a request, whether it is let through or not.
    auto asked(customer_id const& customer, time_point now) -> void;

    /// Counts a request that got a place.
    auto placed(customer_id const& customer, time_point now) -> void;

    /// Probability with which the next request is to be refused at once.
    [[nodiscard]] auto refusal_probability(
        customer_id const& customer, time_point now) const -> double;

    /// Forgets customers that have not asked for long.
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
