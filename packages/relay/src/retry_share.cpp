#include "sapphirereel/relay/retry_share.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Fraction of the budget that is used. The rest covers daemons that have just
/// started and windows that are not aligned with this daemon's.
constexpr auto used_fraction = 0.6;

auto drop_before(std::deque<time_point>& times, time_point start) -> void
{
    while (!times.empty() && times.front() < start)
    {
        times.pop_front();
    }
}

} // namespace

retry_share::retry_share(retry_budget_terms const& terms)
    : terms_(terms)
{}

auto retry_share::expire(time_point now) -> void
{
    drop_before(requests_, now - terms_.window);
    drop_before(retries_, now - terms_.window);
}

auto retry_share::record_request(time_point now) -> void
{
    expire(now);
    requests_.push_back(now);
}

auto retry_share::withdraw_request() -> void
{
    if (!requests_.empty())
    {
        requests_.pop_back();
    }
}

auto retry_share::try_spend(std::size_t daemons, time_point now) -> bool
{
    expire(now);
    auto const sharers = static_cast<double>(std::max<std::size_t>(1, daemons));
    auto const earned = terms_.ratio * static_cast<double>(requests_.size());
    auto const allowed = used_fraction * (earned + terms_.slack / sharers);
    if (static_cast<double>(retries_.size()) + 1 > allowed)
    {
        return false;
    }
    retries_.push_back(now);
    return true;
}

} // namespace sapphirereel::relay
