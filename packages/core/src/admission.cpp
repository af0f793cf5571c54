#include "sapphirereel/core/admission.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {

auto admission::create(admission_settings const& settings, std::uint64_t seed)
    -> result<admission>
{
    auto wrong = findings{};
    auto limit = customer_limit::create(settings.limit);
    if (!limit)
    {
        wrong = limit.error();
    }
    if (settings.longest_wait <= duration{0})
    {
        wrong.push_back(
            {.where = {.source = "admission", .field = "longest_wait"},
             .message = "no request may wait for a place",
             .mend = "give a time above 0"});
    }
    if (settings.least_retry_after > settings.most_retry_after)
    {
        wrong.push_back(
            {.where = {.source = "admission", .field = "least_retry_after"},
             .message = "the shortest retry hint is above the longest",
             .mend = "swap the two times"});
    }
    if (!wrong.empty())
    {
        return tl::unexpected(std::move(wrong));
    }
    return admission{settings, *std::move(limit), seed};
}

auto admission::admit(admission_request const& request, time_point now)
    -> admission_reply
{
    auto wait = settings_.longest_wait;
    if (request.deadline)
    {
        wait =
            std::min(wait, *request.deadline - now - settings_.least_service);
    }
    if (wait <= duration{0})
    {
        return refuse(admission_cause::deadline);
    }
    if (waiting_.contains(request.run))
    {
        return admitted{wait};
    }
    auto const chance =
        std::uniform_real_distribution<double>(0, 1)(generator_);
    auto const limited =
        chance < limit_.refusal_probability(request.customer, now);
    limit_.asked(request.customer, now);
    if (limited)
    {
        return refuse(admission_cause::customer_limit);
    }
    if (queue_full_for(request.customer))
    {
        return refuse(admission_cause::queue_full);
    }
    waiting_.emplace(request.run, request.customer);
    ++waiting_of_[request.customer];
    return admitted{wait};
}

auto admission::placed(run_id const& run, time_point now) -> void
{
    auto const found = waiting_.find(run);
    if (found == waiting_.end())
    {
        return;
    }
    limit_.placed(found->second, now);
    not_placed(run);
}

auto admission::not_placed(run_id const& run) -> duration
{
    auto const found = waiting_.find(run);
    if (found != waiting_.end())
    {
        auto const count = waiting_of_.find(found->second);
        if (--count->second == 0)
        {
            waiting_of_.erase(count);
        }
        waiting_.erase(found);
    }
    return spread_retry_after();
}

auto admission::spread_retry_after() -> duration
{
    auto spread = std::uniform_int_distribution<duration::rep>(
        settings_.least_retry_after.count(),
        settings_.most_retry_after.count());
    return duration{spread(generator_)};
}

auto admission::expire(time_point now) -> void
{
    limit_.expire(now);
}

auto admission::refuse(admission_cause cause) -> admission_reply
{
    return tl::unexpected(admission_refused{cause, spread_retry_after()});
}

auto admission::queue_full_for(customer_id const& customer) const -> bool
{
    if (waiting_.size() >= settings_.most_waiting)
    {
        return true;
    }
    auto const found = waiting_of_.find(customer);
    return found != waiting_of_.end() &&
           found->second >= settings_.most_waiting_of_customer;
}

} // namespace sapphirereel
