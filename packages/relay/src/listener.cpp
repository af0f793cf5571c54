#include "sapphirereel/relay/listener.hpp"

#include "sapphirereel/core/containment.hpp"

#include <utility>

namespace sapphirereel::relay {
namespace {

/// Maximum number of connections that wait to be accepted.
constexpr auto backlog = 1'024;

/// Time until the next attempt where none can be accepted, as when the process
/// has no descriptor left: the connection stays in the queue, so that an
/// attempt at once would fail again.
constexpr auto pause_after_failure = std::chrono::milliseconds{20};

/// Size of a connection's buffer for bytes that have arrived and were not
/// read. They count as memory of the process.
constexpr auto receive_buffer_bytes = 65'536;

} // namespace

listener::listener(asio::ip::tcp::acceptor acceptor, accepted_handler accepted)
    : acceptor_(std::move(acceptor))
    , pause_(acceptor_.get_executor())
    , accepted_(std::move(accepted))
{}

auto listener::open(
    asio::io_context& loop,
    asio::ip::tcp::endpoint const& at,
    accepted_handler accepted)
    -> tl::expected<std::unique_ptr<listener>, std::string>
{
    auto acceptor = asio::ip::tcp::acceptor{loop};
    auto error = std::error_code{};
    acceptor.open(at.protocol(), error);
    if (!error)
    {
        acceptor.set_option(asio::socket_base::reuse_address{true}, error);
    }
    if (!error)
    {
        // Accepted connections inherit it.
        acceptor.set_option(
            asio::socket_base::receive_buffer_size{receive_buffer_bytes},
            error);
    }
    if (!error)
    {
        acceptor.bind(at, error);
    }
    if (!error)
    {
        acceptor.listen(backlog, error);
    }
    if (error)
    {
        return tl::unexpected(
            "cannot listen on " + at.address().to_string() + ":" +
            std::to_string(at.port()) + ": " + error.message());
    }
    auto made = std::unique_ptr<listener>{
        new listener{std::move(acceptor), std::move(accepted)}};
    made->accept_next();
    return made;
}

auto listener::accept_next() -> void
{
    acceptor_.async_accept(
        [this](std::error_code error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (error)
            {
                accept_after_pause();
                return;
            }
            run_then(
                [&] { accepted_(std::move(socket)); },
                [this] { accept_next(); });
        });
}

auto listener::accept_after_pause() -> void
{
    pause_.expires_after(pause_after_failure);
    pause_.async_wait([this](std::error_code error) {
        if (!error)
        {
            accept_next();
        }
    });
}

auto listener::close() -> void
{
    auto ignored = std::error_code{};
    acceptor_.close(ignored);
    pause_.cancel();
}

} // namespace sapphirereel::relay
