/// \file
/// Defines the sending side towards one peer: its queue, its one connection
/// and when the connection is made anew.
#ifndef SAPPHIREREEL_PEER_OUTGOING_PEER_HPP
#define SAPPHIREREEL_PEER_OUTGOING_PEER_HPP

#include "sapphirereel/peer/backoff.hpp"
#include "sapphirereel/peer/message_queue.hpp"
#include "sapphirereel/peer/outgoing_link.hpp"

#include <asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <string>

namespace sapphirereel::peer::internal {

/// A peer that messages are sent to. Used on the io_context's thread only.
class outgoing_peer : public std::enable_shared_from_this<outgoing_peer>
{
public:
    /// The generator outlives the peer.
    static auto create(
        asio::io_context& io,
        socket_address const& address,
        transport_settings const& settings,
        std::shared_ptr<transport_meter> meter,
        std::mt19937_64& generator) -> std::shared_ptr<outgoing_peer>;

    auto send(std::string message) -> void;

    /// Closes the connection and drops what waits.
    auto close() -> void;

    /// Whether nothing would be lost by forgetting this peer.
    [[nodiscard]] auto idle() const -> bool;

private:
    outgoing_peer(
        asio::io_context& io,
        socket_address address,
        transport_settings const& settings,
        std::shared_ptr<transport_meter> meter,
        std::mt19937_64& generator);

    auto pump() -> void;
    auto start_link() -> void;
    auto link_closed() -> void;
    auto wait() -> void;

    asio::io_context& io_;
    socket_address address_;
    transport_settings settings_;
    std::shared_ptr<transport_meter> meter_;
    std::mt19937_64& generator_;
    message_queue queue_;
    backoff backoff_;
    asio::steady_timer timer_;
    std::shared_ptr<outgoing_link> link_;
    bool waiting_ = false;
    bool closed_ = false;
};

} // namespace sapphirereel::peer::internal

#endif
