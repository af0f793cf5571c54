#include "sapphirereel/relay/lapsed_replicas.hpp"

#include <algorithm>

namespace sapphirereel::relay {

auto lapsed_replicas::keeps(
    endpoint_id const& which, time_point doubt_until, time_point now) -> bool
{
    auto found = lapses_.find(which);
    if (found == lapses_.end())
    {
        if (doubt_until <= now)
        {
            return false;
        }
        auto const is_of_outage =
            doubt_until - now >= lapse_grace - lapse_found_within;
        auto const until = is_of_outage
                               ? doubt_until
                               : std::min(doubt_until, end_of_service(now));
        found = lapses_.emplace(which, lapse{until, is_of_outage}).first;
    }
    return now < found->second.until;
}

auto lapsed_replicas::end_of_service(time_point found_at) const -> time_point
{
    return found_at + std::max(duration{0}, drain_limit_ - drain_margin);
}

auto lapsed_replicas::retain(std::set<endpoint_id> const& missing) -> void
{
    std::erase_if(lapses_, [&](auto const& each) {
        return !missing.contains(each.first);
    });
}

auto lapsed_replicas::prolong(time_point doubt_until) -> void
{
    for (auto& [id, each] : lapses_)
    {
        if (each.is_of_outage)
        {
            each.until = std::max(each.until, doubt_until);
        }
    }
}

auto lapsed_replicas::next_end() const -> std::optional<time_point>
{
    auto first = std::optional<time_point>{};
    for (auto const& [id, each] : lapses_)
    {
        first = std::min(first.value_or(each.until), each.until);
    }
    return first;
}

} // namespace sapphirereel::relay
