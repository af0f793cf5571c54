#include "sapphirereel/composition/daemon_core.hpp"

#include <utility>

namespace sapphirereel {

auto daemon_core::receive(
    daemon_id const&, membership_message const& message, time_point now) -> void
{
    emit(members_.on(message, now));
}

auto daemon_core::receive(
    daemon_id const& from, reserve_message const& message, time_point now)
    -> void
{
    emit(homes_.on(from, message, now));
}

auto daemon_core::receive(
    daemon_id const& from, reserve_reply_message const& message, time_point now)
    -> void
{
    emit(generations_.on(from, message, context(), now));
}

auto daemon_core::receive(
    daemon_id const& from, release_message const& message, time_point now)
    -> void
{
    emit(homes_.on(from, message, now));
}

auto daemon_core::receive(
    daemon_id const& from, progress_message const& message, time_point now)
    -> void
{
    emit(homes_.on(from, message, now));
}

auto daemon_core::receive(
    daemon_id const& from, announce_message const& message, time_point now)
    -> void
{
    emit(homes_.on(from, message, now));
}

auto daemon_core::receive(
    daemon_id const& from,
    announce_request_message const& message,
    time_point now) -> void
{
    emit(generations_.on(from, message, context(), now));
}

auto daemon_core::receive(
    daemon_id const& from, claim_message const& message, time_point now) -> void
{
    emit(calls_.on(claim_message_arrival{from, message}, context(), now));
}

auto daemon_core::receive(
    daemon_id const& from, configuration_query const& message, time_point now)
    -> void
{
    emit(configuration_sync_.on(from, message, now));
}

auto daemon_core::receive(
    daemon_id const& from,
    configuration_snapshot const& message,
    time_point now) -> void
{
    emit(configuration_sync_.on(from, message, now));
}

auto daemon_core::receive(
    daemon_id const&, endpoint_leaving const& message, time_point now) -> void
{
    mark_leaving(message.endpoint, now);
}

auto daemon_core::receive(
    daemon_id const&, crash_message const& message, time_point now) -> void
{
    if (poison_requests_.record_crash(message, now))
    {
        for (auto const& peer : view_.live)
        {
            if (peer != settings_.self.id)
            {
                send(peer, message);
            }
        }
    }
}

auto daemon_core::receive(
    daemon_id const&, cleared_message const& message, time_point now) -> void
{
    poison_requests_.cleared(message, now);
}

auto daemon_core::receive(
    daemon_id const& from, poison_part_reports const& message, time_point now)
    -> void
{
    auto const news = poison_parts_.apply(message, now);
    for (auto const& peer : view_.live)
    {
        if (!news.empty() && peer != settings_.self.id && peer != from)
        {
            send(peer, news);
        }
    }
}

} // namespace sapphirereel
