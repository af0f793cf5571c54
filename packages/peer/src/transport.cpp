#include "sapphirereel/peer/transport.hpp"

#include "sapphirereel/peer/transport_core.hpp"

#include <utility>

namespace sapphirereel::peer {

auto transport::listen(
    asio::io_context& io,
    socket_address const& address,
    transport_settings const& settings,
    receive_handler handler) -> result<std::unique_ptr<transport>>
{
    auto core = internal::transport_core::listen(
        io, address, settings, std::move(handler));
    if (!core)
    {
        return tl::unexpected{std::move(core.error())};
    }
    return std::unique_ptr<transport>{new transport{std::move(*core)}};
}

transport::transport(std::shared_ptr<internal::transport_core> core)
    : core_(std::move(core))
{}

transport::~transport()
{
    core_->close();
}

auto transport::send(socket_address const& to, std::string message) -> void
{
    core_->send(to, std::move(message));
}

auto transport::forget(socket_address const& peer) -> void
{
    core_->forget(peer);
}

auto transport::local_address() const -> socket_address
{
    return core_->local_address();
}

auto transport::counters() const -> transport_counters
{
    return core_->counters();
}

} // namespace sapphirereel::peer
