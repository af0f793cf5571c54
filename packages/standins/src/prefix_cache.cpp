#include "sapphirereel/standins/prefix_cache.hpp"

#include <algorithm>

namespace sapphirereel::standins {

prefix_cache::prefix_cache(prefix_cache_settings settings)
    : settings_(settings)
{}

auto prefix_cache::touch(digest const& prefix, time_point now) -> void
{
    auto const found = std::find(by_use_.begin(), by_use_.end(), prefix);
    if (found != by_use_.end())
    {
        by_use_.splice(by_use_.begin(), by_use_, found);
        return;
    }
    by_use_.push_front(prefix);
    record(true, prefix, now);
    if (by_use_.size() > settings_.max_prefixes)
    {
        record(false, by_use_.back(), now);
        by_use_.pop_back();
    }
}

auto prefix_cache::events(std::uint64_t from, time_point now) const
    -> prefix_event_page
{
    auto page = prefix_event_page{std::max<std::uint64_t>(from, 1), {}};
    for (auto const& event : events_)
    {
        if (event.happened + settings_.event_lag > now)
        {
            break;
        }
        auto const hidden =
            settings_.gap_every != 0 && event.number % settings_.gap_every == 0;
        if (event.number >= from && !hidden)
        {
            page.events.push_back(event);
        }
        page.next = std::max(page.next, event.number + 1);
    }
    return page;
}

auto prefix_cache::record(bool stored, digest const& prefix, time_point now)
    -> void
{
    events_.push_back({events_.size() + 1, stored, prefix, now});
}

} // namespace sapphirereel::standins
