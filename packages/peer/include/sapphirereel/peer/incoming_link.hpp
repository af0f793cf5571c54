/// \file
/// Defines one accepted connection of a peer.
#ifndef SAPPHIREREEL_PEER_INCOMING_LINK_HPP
#define SAPPHIREREEL_PEER_INCOMING_LINK_HPP

#include "sapphirereel/peer/http2_server.hpp"
#include "sapphirereel/peer/outgoing_link.hpp"
#include "sapphirereel/peer/transport.hpp"
#include "sapphirereel/peer/transport_meter.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace sapphirereel::peer::internal {

/// A connection that receives messages. Used on the io_context's thread only.
class incoming_link : public std::enable_shared_from_this<incoming_link>
{
public:
    using message_sink = std::function<void(std::string)>;
    using close_observer =
        std::function<void(std::shared_ptr<incoming_link> const&)>;

    /// Begins to read.
    static auto start(
        asio::ip::tcp::socket socket,
        transport_settings const& settings,
        std::shared_ptr<transport_meter> meter,
        message_sink deliver,
        close_observer closed) -> std::shared_ptr<incoming_link>;

    /// Ends the connection without telling the owner.
    auto close() -> void;

private:
    incoming_link(
        asio::ip::tcp::socket socket,
        transport_settings const& settings,
        std::shared_ptr<transport_meter> meter,
        message_sink deliver,
        close_observer closed);

    auto read() -> void;
    auto take(std::string_view bytes) -> void;
    auto flush() -> void;
    auto watch() -> void;
    auto fail() -> void;

    duration receive_timeout_;
    std::shared_ptr<transport_meter> meter_;
    message_sink deliver_;
    close_observer notify_closed_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::unique_ptr<http2_server> server_;
    std::array<char, read_buffer_bytes> input_{};
    std::string output_;
    time_point received_;
    std::uint64_t counted_refused_ = 0;
    bool closed_ = false;
};

} // namespace sapphirereel::peer::internal

#endif
