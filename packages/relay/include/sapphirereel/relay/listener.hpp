/// \file
/// Defines a listening socket that hands over each connection it accepts.
#ifndef SAPPHIREREEL_RELAY_LISTENER_HPP
#define SAPPHIREREEL_RELAY_LISTENER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

/// Listens until it is destroyed.
class listener
{
public:
    using accepted_handler = std::function<void(asio::ip::tcp::socket)>;

    static auto open(
        asio::io_context& loop,
        asio::ip::tcp::endpoint const& at,
        accepted_handler accepted)
        -> tl::expected<std::unique_ptr<listener>, std::string>;

    /// Accepts no further connections.
    auto close() -> void;

private:
    listener(asio::ip::tcp::acceptor acceptor, accepted_handler accepted);

    auto accept_next() -> void;

    asio::ip::tcp::acceptor acceptor_;
    accepted_handler accepted_;
};

} // namespace sapphirereel::relay

#endif
