#include "sapphirereel/relay/session_registry.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {

auto max_sessions_for(std::size_t descriptors) -> std::size_t
{
    if (descriptors <= file_descriptors)
    {
        return default_max_sessions;
    }
    return static_cast<std::size_t>(
        static_cast<double>(descriptors - file_descriptors) *
        callers_share_of_descriptors);
}

auto session_registry::add(std::shared_ptr<caller_session> const& session)
    -> bool
{
    auto has_ended_one = false;
    if (sessions_.size() >= limit_)
    {
        remove_closed();
    }
    // One that is refused is still open: the next round closes it.
    while (sessions_.size() >= limit_ && end_stalest())
    {
        has_ended_one = true;
        remove_closed();
    }
    sessions_.push_back(session);
    return has_ended_one;
}

auto session_registry::end_largest(std::size_t wanted) -> bool
{
    auto largest = std::shared_ptr<caller_session>{};
    auto most = wanted;
    for (auto const& each : open_sessions())
    {
        if (each->may_be_ended() && each->counted_bytes() > most)
        {
            most = each->counted_bytes();
            largest = each;
        }
    }
    if (largest)
    {
        largest->end_for_room();
    }
    return largest != nullptr;
}

auto session_registry::remove_closed() -> void
{
    sessions_.remove_if([](std::weak_ptr<caller_session> const& each) {
        auto const held = each.lock();
        return !held || held->is_closed();
    });
}

auto session_registry::open_sessions() const
    -> std::vector<std::shared_ptr<caller_session>>
{
    auto open = std::vector<std::shared_ptr<caller_session>>{};
    for (auto const& each : sessions_)
    {
        auto session = each.lock();
        if (session && !session->is_closed())
        {
            open.push_back(std::move(session));
        }
    }
    return open;
}

auto session_registry::end_stalest() -> bool
{
    auto const open = open_sessions();
    auto const is_staler = [](std::shared_ptr<caller_session> const& left,
                              std::shared_ptr<caller_session> const& right) {
        auto const rank = [](caller_session const& of) {
            return std::tuple{
                !of.may_be_ended(), !of.is_closing(), of.has_served(),
                of.last_active()};
        };
        return rank(*left) < rank(*right);
    };
    auto const stalest = std::min_element(open.begin(), open.end(), is_staler);
    if (stalest == open.end() || !(*stalest)->may_be_ended())
    {
        return false;
    }
    (*stalest)->end_unserved();
    return true;
}

} // namespace sapphirereel::relay
