/// \file
/// Defines a listening TCP socket that passes each accepted connection to a
/// handler.
#ifndef SAPPHIREREEL_RELAY_LISTENER_HPP
#define SAPPHIREREEL_RELAY_LISTENER_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace sapphirereel::relay {

/// Accepts connections until it is closed or destroyed.
class listener
{
public:
    using accepted_handler = std::function<void(asio::ip::tcp::socket)>;

    static auto open(
        asio::io_context& loop,
        asio::ip::tcp::endpoint const& at,
        accepted_handler accepted)
        -> tl::expected<std::unique_ptr<listener>, std::string>;

    /// Stops accepting connections.
    auto close() -> void;

private:
    listener(asio::ip::tcp::acceptor acceptor, accepted_handler accepted);

    auto accept_next() -> void;
    auto accept_after_pause() -> void;

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    accepted_handler accepted_;
};

} // namespace sapphirereel::relay

#endif
