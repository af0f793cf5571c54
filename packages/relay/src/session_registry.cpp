#include "sapphirereel/relay/session_registry.hpp"

#include <utility>

namespace sapphirereel::relay {

auto session_registry::add(std::shared_ptr<caller_session> const& session)
    -> void
{
    sessions_.push_back(session);
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

} // namespace sapphirereel::relay
