#include "sapphirereel/core/customer_limit.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirereel {
namespace {

/// Decayed request count below which a customer is dropped.
constexpr double negligible_weight = 0.01;

} // namespace

auto customer_limit::create(customer_limit_settings const& settings)
    -> result<customer_limit>
{
    if (settings.asked_per_placed <= 1 || settings.half_life <= duration{0})
    {
        return tl::unexpected(findings{
            {.where = {.source = "customer_limit", .field = "asked_per_placed"},
             .message = "the limit would never let a customer recover",
             .mend = "give a ratio above 1 and a half-life above 0"}});
    }
    return customer_limit{settings};
}

auto customer_limit::asked(customer_id const& customer, time_point now) -> void
{
    auto& entry = customers_[customer];
    entry = decayed(entry, now);
    entry.asked += 1;
}

auto customer_limit::placed(customer_id const& customer, time_point now) -> void
{
    auto& entry = customers_[customer];
    entry = decayed(entry, now);
    entry.placed += 1;
}

auto customer_limit::refusal_probability(
    customer_id const& customer, time_point now) const -> double
{
    auto const found = customers_.find(customer);
    if (found == customers_.end())
    {
        return 0;
    }
    auto const entry = decayed(found->second, now);
    auto const allowed =
        settings_.asked_per_placed * entry.placed + settings_.free_requests;
    return std::max(0.0, (entry.asked - allowed) / (entry.asked + 1));
}

auto customer_limit::expire(time_point now) -> void
{
    std::erase_if(customers_, [&](auto const& entry) {
        return decayed(entry.second, now).asked < negligible_weight;
    });
}

auto customer_limit::decayed(counts const& of, time_point now) const -> counts
{
    auto const elapsed = std::max(duration{0}, now - of.at);
    auto const halves = static_cast<double>(elapsed.count()) /
                        static_cast<double>(settings_.half_life.count());
    auto const factor = std::exp2(-halves);
    return {of.asked * factor, of.placed * factor, now};
}

} // namespace sapphirereel
