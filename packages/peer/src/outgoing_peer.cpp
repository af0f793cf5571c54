#include "sapphirereel/peer/outgoing_peer.hpp"

#include "sapphirereel/peer/steady_time.hpp"

#include <utility>

namespace sapphirereel::peer::internal {

auto outgoing_peer::create(
    asio::io_context& io,
    socket_address const& address,
    transport_settings const& settings,
    std::shared_ptr<transport_meter> meter,
    std::mt19937_64& generator) -> std::shared_ptr<outgoing_peer>
{
    return std::shared_ptr<outgoing_peer>{
        new outgoing_peer{io, address, settings, std::move(meter), generator}};
}

outgoing_peer::outgoing_peer(
    asio::io_context& io,
    socket_address address,
    transport_settings const& settings,
    std::shared_ptr<transport_meter> meter,
    std::mt19937_64& generator)
    : io_(io)
    , address_(std::move(address))
    , settings_(settings)
    , meter_(std::move(meter))
    , generator_(generator)
    , queue_(
          {settings.max_queued_messages, settings.max_queued_bytes,
           settings.message_lifetime})
    , backoff_(settings.backoff_first, settings.backoff_limit)
    , timer_(io)
{}

auto outgoing_peer::send(std::string message) -> void
{
    meter_->dropped += queue_.push(std::move(message), steady_now());
    pump();
}

auto outgoing_peer::close() -> void
{
    closed_ = true;
    meter_->dropped += queue_.clear();
    timer_.cancel();
    if (link_)
    {
        link_->close();
        link_.reset();
    }
}

auto outgoing_peer::idle() const -> bool
{
    return queue_.empty() && !link_ && !waiting_;
}

auto outgoing_peer::pump() -> void
{
    meter_->dropped += queue_.expire(steady_now());
    if (queue_.empty() || waiting_ || closed_)
    {
        return;
    }
    if (!link_)
    {
        start_link();
        return;
    }
    while (!queue_.empty() && link_ && link_->accepts(queue_.front_bytes()))
    {
        link_->submit(*queue_.pop());
    }
}

auto outgoing_peer::start_link() -> void
{
    link_ = outgoing_link::start(
        io_, address_, settings_, meter_,
        [self = weak_from_this()](link_event event) {
            auto const peer = self.lock();
            if (!peer || peer->closed_)
            {
                return;
            }
            if (event == link_event::closed)
            {
                peer->link_closed();
            }
            peer->pump();
        });
}

auto outgoing_peer::link_closed() -> void
{
    auto const worked = link_->worked();
    link_.reset();
    if (worked)
    {
        backoff_.reset();
    }
    else
    {
        wait();
    }
}

auto outgoing_peer::wait() -> void
{
    waiting_ = true;
    timer_.expires_after(backoff_.next(generator_));
    timer_.async_wait([self = shared_from_this()](asio::error_code status) {
        self->waiting_ = false;
        if (!status)
        {
            self->pump();
        }
    });
}

} // namespace sapphirereel::peer::internal
