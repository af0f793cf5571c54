/// \file
/// Defines the transport of one-way messages between daemons: HTTP/2 requests
/// `POST /peer/v1` over TCP, each answered with status 204.
#ifndef SAPPHIREREEL_PEER_TRANSPORT_HPP
#define SAPPHIREREEL_PEER_TRANSPORT_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#ifndef ASIO_STANDALONE
#define ASIO_STANDALONE
#endif
#include <asio/io_context.hpp>

namespace sapphirereel::peer {

/// Bounds and timeouts of a transport.
struct transport_settings
{
    /// Largest message sent or accepted, in bytes.
    std::size_t max_message_bytes = std::size_t{1} << 20U;
    /// Most messages that wait for one peer; the oldest is dropped beyond it.
    std::size_t max_queued_messages = 1024;
    /// Most bytes that wait for one peer; the oldest are dropped beyond it.
    std::size_t max_queued_bytes = std::size_t{4} << 20U;
    /// A message that has waited this long for a connection is dropped.
    duration message_lifetime = std::chrono::seconds{5};
    /// Most connections accepted at once; further ones are closed.
    std::size_t max_incoming_connections = 1024;
    /// Longest wait for a connection to be made.
    duration connect_timeout = std::chrono::seconds{1};
    /// A connection that received nothing for this long is probed by a PING.
    duration ping_interval = std::chrono::seconds{10};
    /// A connection is silent when nothing comes back on it for this long after
    /// a message or PING; it is closed, and the next message makes a new one.
    duration silence_timeout = std::chrono::seconds{2};
    /// An outgoing connection without messages for this long is closed.
    duration idle_timeout = std::chrono::seconds{60};
    /// First wait before a failed connection is made anew; it doubles up to
    /// the limit, and each wait is drawn between half of it and the whole.
    duration backoff_first = std::chrono::milliseconds{50};
    duration backoff_limit = std::chrono::seconds{2};
    /// Seed of the generator that the waits are drawn from.
    std::uint64_t seed = 1;
    auto operator<=>(transport_settings const&) const = default;
};

/// What a transport has done since it was made.
struct transport_counters
{
    std::uint64_t messages_out = 0;
    std::uint64_t messages_in = 0;
    /// Bytes on the wire, framing and headers included.
    std::uint64_t bytes_out = 0;
    std::uint64_t bytes_in = 0;
    /// Messages dropped before they were written: the queue was full, the
    /// message too old, or the peer forgotten.
    std::uint64_t dropped = 0;
    /// Messages refused at send because they exceed the size limit.
    std::uint64_t oversized = 0;
    /// Messages that may be lost: written, but not answered with 204.
    std::uint64_t unanswered = 0;
    std::uint64_t connections_made = 0;
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_silent = 0;
    std::uint64_t protocol_errors = 0;
    /// Messages that the peer answered with 204: it has received them.
    std::uint64_t answered = 0;
    auto operator<=>(transport_counters const&) const = default;
};

/// Called on the thread that runs the io_context, once for each message.
using receive_handler = std::function<void(std::string message)>;

namespace internal {
class transport_core;
} // namespace internal

/// Sends messages to peers and receives theirs. Delivery is not reliable: a
/// message is delivered at most once for each send, may be lost with its
/// connection, and may arrive before one that was sent earlier.
/// The io_context is run by one thread; a transport is destroyed on that
/// thread, or after it has stopped.
///
/// Example:
/// \code
/// auto made = transport::listen(io, {"127.0.0.11", 7100}, {}, on_message);
/// (*made)->send({"127.0.0.12", 7100}, bytes);
/// \endcode
class transport
{
public:
    /// Listens on an address by IP number; port 0 takes a free one.
    static auto listen(
        asio::io_context& io,
        socket_address const& address,
        transport_settings const& settings,
        receive_handler handler) -> result<std::unique_ptr<transport>>;

    ~transport();
    transport(transport const&) = delete;
    auto operator=(transport const&) -> transport& = delete;

    /// Queues a message for the peer at an address. May be called from any
    /// thread.
    auto send(socket_address const& to, std::string message) -> void;

    /// Closes the connection to a peer that has left and drops its queue. May
    /// be called from any thread.
    auto forget(socket_address const& peer) -> void;

    /// The address listened on, with its real port.
    [[nodiscard]] auto local_address() const -> socket_address;

    /// May be called from any thread.
    [[nodiscard]] auto counters() const -> transport_counters;

private:
    explicit transport(std::shared_ptr<internal::transport_core> core);
    std::shared_ptr<internal::transport_core> core_;
};

} // namespace sapphirereel::peer

#endif
