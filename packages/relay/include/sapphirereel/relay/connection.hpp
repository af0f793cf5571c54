/// \file
/// Defines a TCP connection on the event loop with buffered non-blocking writes
/// and handlers for received bytes and for the connection's end.
#ifndef SAPPHIREREEL_RELAY_CONNECTION_HPP
#define SAPPHIREREEL_RELAY_CONNECTION_HPP

#include "sapphirereel/core/clock.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace sapphirereel::relay {

/// How a connection ended.
enum class connection_end
{
    /// The peer closed it in an orderly way, after it had received all bytes
    /// passed to `send`.
    closed,
    /// The peer closed it in an orderly way before it had received all bytes
    /// passed to `send`. A process that fails may end it so.
    closed_early,
    /// The peer reset the connection.
    reset,
    /// The connection failed, for example because the peer is silent.
    broken
};

/// One TCP connection. It stays alive as long as it is open or referenced. All
/// functions are called on the event loop's thread. If a handler throws, the
/// connection ends as one that broke, and the exception passes on to whoever
/// runs the loop: it concerns no other connection.
class connection : public std::enable_shared_from_this<connection>
{
public:
    /// Callbacks of the owner. None runs after `close`.
    struct handlers
    {
        std::function<void(std::string_view)> received;
        std::function<void(connection_end)> ended;
        /// Called when all bytes passed to `send` have been written.
        std::function<void()> drained;
        /// Whether `received` still gets, after a write has failed, what had
        /// arrived before: a response may be whole by then.
        bool takes_input_of_failed_connection = false;
    };

    using connect_handler =
        std::function<void(std::shared_ptr<connection>, std::error_code)>;

    /// Wraps a connected socket.
    static auto adopt(asio::ip::tcp::socket socket)
        -> std::shared_ptr<connection>;

    /// Connects, or fails after `limit`.
    static auto connect(
        asio::io_context& loop,
        asio::ip::tcp::endpoint const& to,
        duration limit,
        connect_handler done) -> void;

    ~connection();
    connection(connection const&) = delete;
    auto operator=(connection const&) -> connection& = delete;

    auto set_handlers(handlers to) -> void;

    /// Starts or resumes reading.
    auto read() -> void;

    /// Stops reading until `read` is called.
    auto pause() -> void;

    auto send(std::string bytes) -> void;

    /// Bytes that are buffered for writing.
    [[nodiscard]] auto unsent_bytes() const -> std::size_t;

    /// Closes the connection after the buffered bytes have been written.
    /// Further input is read and discarded for a short time, so that no reset
    /// overtakes the last bytes. `handlers::ended` is called if the connection
    /// ends before that.
    auto close_gracefully() -> void;

    auto close() -> void;

    /// Closes the connection at once with a reset, so that its end can't be
    /// taken for the end of a message.
    auto reset() -> void;

    /// Whether the connection can carry more bytes to the peer.
    [[nodiscard]] auto is_open() const -> bool;

    /// Whether the socket is closed; false while a graceful close is pending.
    [[nodiscard]] auto is_closed() const -> bool;

    /// Whether input or the peer's close is ready to be read.
    [[nodiscard]] auto has_input() -> bool;

private:
    struct pending_wait;

    explicit connection(asio::ip::tcp::socket socket);

    /// Runs a handler; ends the connection if it throws.
    template <class Handler>
    auto run_handler(Handler const& handler) -> void;
    auto wait_readable() -> void;
    auto read_available() -> void;
    /// Reads once and passes on what had arrived; returns whether anything had.
    auto read_once() -> bool;
    auto write_pending() -> void;
    /// Notes that a write failed and ends the connection from the event loop.
    auto fail_write(connection_end how) -> void;
    auto end_after_failed_write() -> void;
    /// How a connection ends whose input has ended without an error.
    [[nodiscard]] auto end_of_input() -> connection_end;
    /// Whether the peer has acknowledged all bytes passed to `send`.
    [[nodiscard]] auto has_delivered_everything() -> bool;
    auto shut_down_and_linger() -> void;
    auto end(connection_end how) -> void;

    asio::ip::tcp::socket socket_;
    asio::steady_timer linger_timer_;
    handlers handlers_;
    std::string pending_;
    std::size_t written_ = 0;
    /// How the connection ended for a write that failed. The system reports an
    /// error once: a read after that sees an end without an error.
    std::optional<connection_end> failed_write_;
    bool reading_ = false;
    bool waiting_readable_ = false;
    bool waiting_writable_ = false;
    bool closing_ = false;
};

} // namespace sapphirereel::relay

#endif
