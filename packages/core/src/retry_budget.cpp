#include "sapphirereel/core/retry_budget.hpp"

#include <algorithm>

namespace sapphirereel {

auto retry_budget::create(retry_budget_settings const& settings, time_point now)
    -> result<retry_budget>
{
    auto const holds = settings.ratio >= 0 && settings.free_per_second >= 0 &&
                       settings.most >= 1;
    if (!holds)
    {
        return tl::unexpected(findings{
            {.where = {.source = "retry_budget", .field = "ratio"},
             .message = "the retry budget is negative or holds no retry",
             .mend = "give rates of 0 or more and a size of 1 or more"}});
    }
    return retry_budget{settings, now};
}

auto retry_budget::succeeded(time_point now) -> void
{
    fill(now);
    left_ = std::min(settings_.most, left_ + settings_.ratio);
}

auto retry_budget::try_spend(time_point now) -> bool
{
    fill(now);
    if (left_ < 1)
    {
        return false;
    }
    left_ -= 1;
    return true;
}

auto retry_budget::fill(time_point now) -> void
{
    auto const elapsed = std::max(duration{0}, now - filled_at_);
    auto const seconds = std::chrono::duration<double>(elapsed).count();
    left_ =
        std::min(settings_.most, left_ + settings_.free_per_second * seconds);
    filled_at_ = std::max(filled_at_, now);
}

} // namespace sapphirereel
