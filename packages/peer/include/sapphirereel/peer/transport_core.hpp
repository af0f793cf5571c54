/// \file
/// Defines what stands behind a transport: its acceptor and its connections.
#ifndef SAPPHIREREEL_PEER_TRANSPORT_CORE_HPP
#define SAPPHIREREEL_PEER_TRANSPORT_CORE_HPP

#include "sapphirereel/peer/incoming_link.hpp"
#include "sapphirereel/peer/outgoing_peer.hpp"
#include "sapphirereel/peer/transport.hpp"
#include "sapphirereel/peer/transport_meter.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace sapphirereel::peer::internal {

/// Owns the acceptor and the connections; outlives the transport until the
/// last pending operation has ended.
class transport_core : public std::enable_shared_from_this<transport_core>
{
public:
    static auto listen(
        asio::io_context& io,
        socket_address const& address,
        transport_settings const& settings,
        receive_handler handler) -> result<std::shared_ptr<transport_core>>;

    /// May be called from any thread.
    auto send(socket_address const& to, std::string message) -> void;

    /// May be called from any thread.
    auto forget(socket_address const& peer) -> void;

    /// Closes everything; the handler is not called again.
    auto close() -> void;

    [[nodiscard]] auto local_address() const -> socket_address;

    /// May be called from any thread.
    [[nodiscard]] auto counters() const -> transport_counters;

private:
    transport_core(
        asio::io_context& io,
        asio::ip::tcp::acceptor acceptor,
        transport_settings const& settings,
        receive_handler handler);

    auto accept() -> void;
    auto accepted(asio::ip::tcp::socket socket) -> void;
    auto pause_accepting() -> void;
    auto enqueue(socket_address const& to, std::string message) -> void;
    auto drop_idle_peers() -> void;

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    socket_address local_address_;
    transport_settings settings_;
    receive_handler handler_;
    std::shared_ptr<transport_meter> meter_;
    std::mt19937_64 generator_;
    std::map<socket_address, std::shared_ptr<outgoing_peer>> peers_;
    std::set<std::shared_ptr<incoming_link>> incoming_;
    bool closed_ = false;
};

} // namespace sapphirereel::peer::internal

#endif
