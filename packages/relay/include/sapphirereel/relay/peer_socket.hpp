/// \file
/// Defines the UDP socket that carries reports between daemons.
#ifndef SAPPHIREREEL_RELAY_PEER_SOCKET_HPP
#define SAPPHIREREEL_RELAY_PEER_SOCKET_HPP

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

/// Sends and receives datagrams without blocking. Drops a datagram that can't
/// be sent at once.
class peer_socket
{
public:
    using received_handler = std::function<void(std::string_view)>;

    static auto open(
        asio::io_context& loop,
        std::string const& ip,
        std::uint16_t port,
        received_handler received)
        -> tl::expected<std::unique_ptr<peer_socket>, std::string>;

    /// Sends to the port that this socket is bound to, at another address.
    auto send(std::string const& ip, std::string_view bytes) -> void;

private:
    /// Largest payload of a UDP datagram over IPv4, in bytes.
    static constexpr auto max_datagram_bytes = std::size_t{65'507};

    peer_socket(
        asio::ip::udp::socket socket,
        std::uint16_t port,
        received_handler received);

    auto wait() -> void;
    auto receive_waiting() -> void;

    asio::ip::udp::socket socket_;
    std::uint16_t port_;
    received_handler received_;
    std::array<char, max_datagram_bytes> buffer_;
};

} // namespace sapphirereel::relay

#endif
