#include "sapphirereel/relay/connection.hpp"

#include "sapphirereel/calls/delivery.hpp"

#include <array>
#include <asio/post.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Maximum number of bytes per read.
constexpr auto max_read_bytes = std::size_t{32'768};

/// Time after which unacknowledged data, or keep-alive probes without a
/// response, fail a connection, in milliseconds. It is above the second or so
/// for which a sound replica may fall silent.
constexpr auto unacknowledged_limit_ms = 2'500;

/// Idle time before the first keep-alive probe and between probes, in seconds.
constexpr auto probe_interval_s = 1;

/// Unanswered keep-alive probes after which a connection fails. The limit above
/// comes first on Linux; this one holds where probes ignore it.
constexpr auto probe_count = 3;

/// Largest buffer for writing that is kept for the next bytes, in bytes.
constexpr auto kept_write_bytes = std::size_t{65'536};

/// Time for which input is discarded after the last bytes were written.
constexpr auto linger_time = std::chrono::milliseconds{500};

auto set_option(int socket, int level, int name, int value) -> void
{
    // Errors are ignored: without the option the connection still works, but a
    // peer that stopped responding is detected later.
    std::ignore = ::setsockopt(socket, level, name, &value, sizeof value);
}

auto set_options(asio::ip::tcp::socket& socket) -> void
{
    auto ignored = std::error_code{};
    socket.non_blocking(true, ignored);
    auto const raw = socket.native_handle();
    set_option(raw, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(raw, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
    set_option(raw, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(raw, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval_s);
    set_option(raw, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(raw, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
}

auto end_of(std::error_code error) -> connection_end
{
    auto const is_reset = error == asio::error::connection_reset ||
                          error == asio::error::broken_pipe;
    return is_reset ? connection_end::reset : connection_end::broken;
}

} // namespace

connection::connection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
    , linger_timer_(socket_.get_executor())
{
    set_options(socket_);
}

connection::~connection() = default;

auto connection::adopt(asio::ip::tcp::socket socket)
    -> std::shared_ptr<connection>
{
    return std::shared_ptr<connection>{new connection{std::move(socket)}};
}

auto connection::connect(
    asio::io_context& loop,
    asio::ip::tcp::endpoint const& to,
    duration limit,
    connect_handler done) -> void
{
    auto const socket = std::make_shared<asio::ip::tcp::socket>(loop);
    auto const timer = std::make_shared<asio::steady_timer>(loop, limit);
    timer->async_wait([socket](std::error_code error) {
        if (!error)
        {
            auto ignored = std::error_code{};
            socket->close(ignored);
        }
    });
    socket->async_connect(
        to, [socket, timer, done = std::move(done)](std::error_code error) {
            timer->cancel();
            if (!error && !socket->is_open())
            {
                error = asio::error::timed_out;
            }
            done(error ? nullptr : adopt(std::move(*socket)), error);
        });
}

auto connection::set_handlers(handlers to) -> void
{
    handlers_ = std::move(to);
}

auto connection::read() -> void
{
    reading_ = true;
    wait_readable();
}

auto connection::pause() -> void
{
    reading_ = false;
}

/// A pending wait. If the event loop is destroyed before the wait completes,
/// the destructor drops the connection's handlers, because they form a
/// reference cycle with the connection.
struct connection::pending_wait
{
    explicit pending_wait(std::shared_ptr<connection> held)
        : target(std::move(held))
    {}
    pending_wait(pending_wait&& other) noexcept
        : target(std::exchange(other.target, nullptr))
    {}
    auto operator=(pending_wait&&) -> pending_wait& = delete;
    pending_wait(pending_wait const&) = delete;
    auto operator=(pending_wait const&) -> pending_wait& = delete;
    ~pending_wait()
    {
        if (target)
        {
            auto const dropped = std::exchange(target->handlers_, handlers{});
        }
    }

    std::shared_ptr<connection> target;
};

template <class Handler>
auto connection::run_handler(Handler const& handler) -> void
{
    try
    {
        handler();
    }
    catch (...)
    {
        end(connection_end::broken);
        throw;
    }
}

auto connection::wait_readable() -> void
{
    if (waiting_readable_ || !socket_.is_open())
    {
        return;
    }
    waiting_readable_ = true;
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [pending =
             pending_wait{shared_from_this()}](std::error_code error) mutable {
            auto const self = std::exchange(pending.target, nullptr);
            self->waiting_readable_ = false;
            if (!error && self->socket_.is_open())
            {
                self->read_available();
            }
        });
}

auto connection::read_available() -> void
{
    if (!reading_ && !closing_)
    {
        return;
    }
    read_once();
    if (socket_.is_open() && (reading_ || closing_))
    {
        wait_readable();
    }
}

auto connection::read_once() -> bool
{
    static auto buffer = std::array<char, max_read_bytes>{};
    auto error = std::error_code{};
    auto const size =
        socket_.read_some(asio::buffer(buffer.data(), buffer.size()), error);
    if (error == asio::error::would_block || error == asio::error::interrupted)
    {
        return false;
    }
    if (error)
    {
        end(error == asio::error::eof ? end_of_input() : end_of(error));
        return false;
    }
    if (!closing_ && handlers_.received)
    {
        // Copied because the handler may replace the connection's handlers
        // while it runs.
        auto const received = handlers_.received;
        run_handler([&] { received(std::string_view{buffer.data(), size}); });
    }
    return true;
}

auto connection::end_of_input() -> connection_end
{
    if (failed_write_)
    {
        return *failed_write_;
    }
    return has_delivered_everything() ? connection_end::closed
                                      : connection_end::closed_early;
}

auto connection::has_delivered_everything() -> bool
{
    return unsent_bytes() == 0 &&
           calls::has_delivered_everything(socket_.native_handle());
}

auto connection::send(std::string bytes) -> void
{
    if (!socket_.is_open() || closing_ || failed_write_ || bytes.empty())
    {
        return;
    }
    pending_ = pending_.empty() ? std::move(bytes) : pending_ + bytes;
    if (!waiting_writable_)
    {
        write_pending();
    }
}

auto connection::write_pending() -> void
{
    while (written_ < pending_.size())
    {
        auto error = std::error_code{};
        auto const rest = asio::buffer(
            pending_.data() + written_, pending_.size() - written_);
        auto const size = socket_.write_some(rest, error);
        if (error == asio::error::would_block)
        {
            waiting_writable_ = true;
            socket_.async_wait(
                asio::ip::tcp::socket::wait_write,
                [self = shared_from_this()](std::error_code failed) {
                    self->waiting_writable_ = false;
                    if (!failed && self->socket_.is_open())
                    {
                        self->write_pending();
                    }
                });
            return;
        }
        if (error)
        {
            fail_write(end_of(error));
            return;
        }
        written_ += size;
    }
    if (pending_.capacity() > kept_write_bytes)
    {
        pending_ = std::string{};
    }
    pending_.clear();
    written_ = 0;
    if (closing_)
    {
        shut_down_and_linger();
    }
    else if (handlers_.drained)
    {
        auto const drained = handlers_.drained;
        run_handler(drained);
    }
}

auto connection::fail_write(connection_end how) -> void
{
    failed_write_ = how;
    // Reported from the event loop, because the handler may destroy state that
    // the caller of `send` still uses.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->end_after_failed_write();
    });
}

auto connection::end_after_failed_write() -> void
{
    auto const takes_input = handlers_.takes_input_of_failed_connection;
    while (takes_input && reading_ && socket_.is_open() && read_once())
    {}
    // A reader that has paused finds the rest, and the end, when it resumes.
    auto const is_paused = takes_input && !reading_;
    if (socket_.is_open() && !is_paused)
    {
        end(*failed_write_);
    }
}

auto connection::unsent_bytes() const -> std::size_t
{
    return pending_.size() - written_;
}

auto connection::close_gracefully() -> void
{
    if (closing_ || !socket_.is_open())
    {
        return;
    }
    closing_ = true;
    handlers_.received = {};
    handlers_.drained = {};
    wait_readable();
    if (pending_.empty())
    {
        shut_down_and_linger();
    }
}

auto connection::shut_down_and_linger() -> void
{
    auto ignored = std::error_code{};
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    linger_timer_.expires_after(linger_time);
    linger_timer_.async_wait(
        [self = shared_from_this()](std::error_code error) {
            if (!error)
            {
                self->close();
            }
        });
}

auto connection::close() -> void
{
    handlers_ = {};
    linger_timer_.cancel();
    auto ignored = std::error_code{};
    socket_.close(ignored);
}

auto connection::reset() -> void
{
    auto ignored = std::error_code{};
    socket_.set_option(asio::socket_base::linger{true, 0}, ignored);
    close();
}

auto connection::is_closed() const -> bool
{
    return !socket_.is_open();
}

auto connection::is_open() const -> bool
{
    return socket_.is_open() && !closing_;
}

auto connection::has_input() -> bool
{
    auto byte = char{};
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >=
           0;
}

auto connection::end(connection_end how) -> void
{
    auto const ended = std::move(handlers_.ended);
    close();
    if (ended)
    {
        ended(how);
    }
}

} // namespace sapphirereel::relay
