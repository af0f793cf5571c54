/// \file
/// Defines one connection to a peer, from the attempt to its end.
#ifndef SAPPHIREREEL_PEER_OUTGOING_LINK_HPP
#define SAPPHIREREEL_PEER_OUTGOING_LINK_HPP

#include "sapphirereel/peer/http2_client.hpp"
#include "sapphirereel/peer/silence_detector.hpp"
#include "sapphirereel/peer/transport.hpp"
#include "sapphirereel/peer/transport_meter.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace sapphirereel::peer::internal {

/// Bytes read from a socket at once.
inline constexpr auto read_buffer_bytes = std::size_t{8} * 1024;

/// What a link tells its owner.
enum class link_event
{
    /// Messages may be submitted.
    usable,
    /// The connection is over, or could not be made.
    closed
};

/// A connection that sends messages. Used on the io_context's thread only.
class outgoing_link : public std::enable_shared_from_this<outgoing_link>
{
public:
    using observer = std::function<void(link_event)>;

    /// Begins to connect.
    static auto start(
        asio::io_context& io,
        socket_address const& to,
        transport_settings const& settings,
        std::shared_ptr<transport_meter> meter,
        observer notify) -> std::shared_ptr<outgoing_link>;

    /// Whether a message of a size may be submitted now.
    [[nodiscard]] auto accepts(std::size_t bytes) const -> bool;

    auto submit(std::string message) -> void;

    /// Whether any message was answered on this connection.
    [[nodiscard]] auto worked() const -> bool;

    /// Ends the connection without telling the owner.
    auto close() -> void;

private:
    outgoing_link(
        asio::io_context& io,
        socket_address const& to,
        transport_settings const& settings,
        std::shared_ptr<transport_meter> meter,
        observer notify);

    auto connect(socket_address const& to) -> void;
    auto connected() -> void;
    auto read() -> void;
    auto take(std::string_view bytes) -> void;
    auto progress() -> void;
    auto flush() -> void;
    auto count_answers() -> void;
    auto arm_timer(time_point deadline) -> void;
    auto check_time() -> void;
    auto fail() -> void;

    transport_settings settings_;
    std::shared_ptr<transport_meter> meter_;
    observer notify_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::unique_ptr<http2_client> client_;
    silence_detector detector_;
    std::array<char, read_buffer_bytes> input_{};
    std::string output_;
    time_point timer_deadline_ = time_point::max();
    time_point connect_deadline_;
    time_point last_message_;
    std::uint64_t counted_refused_ = 0;
    std::uint64_t counted_answered_ = 0;
    std::uint64_t submitted_ = 0;
    bool connected_ = false;
    bool closed_ = false;
};

} // namespace sapphirereel::peer::internal

#endif
