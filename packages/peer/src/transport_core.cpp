#include "sapphirereel/peer/transport_core.hpp"

#include <asio/post.hpp>
#include <utility>

namespace sapphirereel::peer::internal {
namespace {

/// Wait after a failed accept, which most often means no free descriptors.
constexpr auto accept_pause = std::chrono::milliseconds{100};

auto open_acceptor(
    asio::ip::tcp::acceptor& acceptor, socket_address const& address)
    -> asio::error_code
{
    auto error = asio::error_code{};
    auto const ip = asio::ip::make_address(address.ip, error);
    if (error)
    {
        return error;
    }
    auto const endpoint = asio::ip::tcp::endpoint{ip, address.port};
    acceptor.open(endpoint.protocol(), error);
    if (error)
    {
        return error;
    }
    acceptor.set_option(asio::socket_base::reuse_address{true}, error);
    acceptor.bind(endpoint, error);
    if (error)
    {
        return error;
    }
    acceptor.listen(asio::socket_base::max_listen_connections, error);
    return error;
}

auto address_of(asio::ip::tcp::acceptor const& acceptor) -> socket_address
{
    auto const endpoint = acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

} // namespace

auto transport_core::listen(
    asio::io_context& io,
    socket_address const& address,
    transport_settings const& settings,
    receive_handler handler) -> result<std::shared_ptr<transport_core>>
{
    auto acceptor = asio::ip::tcp::acceptor{io};
    auto const error = open_acceptor(acceptor, address);
    if (error)
    {
        auto const shown = address.ip + ":" + std::to_string(address.port);
        return tl::unexpected{findings{
            {{"", 0, "peer_address"},
             "cannot listen on " + shown + ": " + error.message(),
             "use an address of this VM and a free port"}}};
    }
    auto core = std::shared_ptr<transport_core>{new transport_core{
        io, std::move(acceptor), settings, std::move(handler)}};
    core->accept();
    return core;
}

transport_core::transport_core(
    asio::io_context& io,
    asio::ip::tcp::acceptor acceptor,
    transport_settings const& settings,
    receive_handler handler)
    : io_(io)
    , acceptor_(std::move(acceptor))
    , accept_timer_(io)
    , local_address_(address_of(acceptor_))
    , settings_(settings)
    , handler_(std::move(handler))
    , meter_(std::make_shared<transport_meter>())
    , generator_(settings.seed)
{}

auto transport_core::send(socket_address const& to, std::string message) -> void
{
    if (message.size() > settings_.max_message_bytes)
    {
        ++meter_->oversized;
        return;
    }
    asio::post(
        io_, [self = shared_from_this(), to,
              message = std::move(message)]() mutable {
            self->enqueue(to, std::move(message));
        });
}

auto transport_core::forget(socket_address const& peer) -> void
{
    asio::post(io_, [self = shared_from_this(), peer] {
        auto const found = self->peers_.find(peer);
        if (found != self->peers_.end())
        {
            found->second->close();
            self->peers_.erase(found);
        }
    });
}

auto transport_core::close() -> void
{
    closed_ = true;
    auto ignored = asio::error_code{};
    acceptor_.close(ignored);
    accept_timer_.cancel();
    for (auto const& [address, peer] : peers_)
    {
        peer->close();
    }
    peers_.clear();
    for (auto const& link : incoming_)
    {
        link->close();
    }
    incoming_.clear();
}

auto transport_core::local_address() const -> socket_address
{
    return local_address_;
}

auto transport_core::counters() const -> transport_counters
{
    return meter_->read();
}

auto transport_core::accept() -> void
{
    acceptor_.async_accept(
        [self = shared_from_this()](
            asio::error_code status, asio::ip::tcp::socket socket) {
            if (self->closed_)
            {
                return;
            }
            if (status)
            {
                self->pause_accepting();
                return;
            }
            self->accepted(std::move(socket));
            self->accept();
        });
}

auto transport_core::accepted(asio::ip::tcp::socket socket) -> void
{
    if (incoming_.size() >= settings_.max_incoming_connections)
    {
        return;
    }
    ++meter_->connections_accepted;
    auto const self = weak_from_this();
    auto deliver = [self](std::string message) {
        auto const core = self.lock();
        if (core && !core->closed_)
        {
            core->handler_(std::move(message));
        }
    };
    auto closed = [self](std::shared_ptr<incoming_link> const& link) {
        if (auto const core = self.lock())
        {
            core->incoming_.erase(link);
        }
    };
    incoming_.insert(incoming_link::start(
        std::move(socket), settings_, meter_, std::move(deliver),
        std::move(closed)));
}

auto transport_core::pause_accepting() -> void
{
    accept_timer_.expires_after(accept_pause);
    accept_timer_.async_wait(
        [self = shared_from_this()](asio::error_code status) {
            if (!status && !self->closed_)
            {
                self->accept();
            }
        });
}

auto transport_core::enqueue(socket_address const& to, std::string message)
    -> void
{
    if (closed_)
    {
        ++meter_->dropped;
        return;
    }
    auto found = peers_.find(to);
    if (found == peers_.end())
    {
        drop_idle_peers();
        auto peer =
            outgoing_peer::create(io_, to, settings_, meter_, generator_);
        found = peers_.emplace(to, std::move(peer)).first;
    }
    found->second->send(std::move(message));
}

auto transport_core::drop_idle_peers() -> void
{
    std::erase_if(
        peers_, [](auto const& entry) { return entry.second->idle(); });
}

} // namespace sapphirereel::peer::internal
