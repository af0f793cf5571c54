/// \file
/// Defines the retry budget of a service: each success adds a fraction of a
/// retry, so that retries can't outgrow the load that still succeeds.
#ifndef SAPPHIREREEL_CORE_RETRY_BUDGET_HPP
#define SAPPHIREREEL_CORE_RETRY_BUDGET_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"

namespace sapphirereel {

/// Size of a retry budget.
struct retry_budget_settings
{
    /// Retries that one success adds to the budget.
    double ratio = 0.1;
    /// Retries added each second, for a service with little traffic.
    double free_per_second = 1;
    /// Largest budget, in retries.
    double most = 20;
    auto operator<=>(retry_budget_settings const&) const = default;
};

/// Token bucket of one service at one entry daemon.
/// Example: `if (budget.try_spend(now)) retry();`
class retry_budget
{
public:
    static auto create(retry_budget_settings const& settings, time_point now)
        -> result<retry_budget>;

    /// Counts a request that succeeded.
    auto succeeded(time_point now) -> void;

    /// Takes one retry from the budget; false where it is used up.
    auto try_spend(time_point now) -> bool;

    /// Retries left.
    [[nodiscard]] auto left() const -> double
    {
        return left_;
    }

private:
    retry_budget(retry_budget_settings const& settings, time_point now)
        : settings_(settings)
        , left_(settings.most)
        , filled_at_(now)
    {}

    auto fill(time_point now) -> void;

    retry_budget_settings settings_;
    double left_;
    time_point filled_at_;
};

} // namespace sapphirereel

#endif
