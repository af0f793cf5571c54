#include "sapphirereel/relay/listener.hpp"

#include "sapphirereel/core/containment.hpp"

#include <utility>

namespace sapphirereel::relay {
namespace {

/// Maximum number of connections that wait to be accepted.
constexpr auto backlog = 1'024;

} // namespace

listener::listener(asio::ip::tcp::acceptor acceptor, accepted_handler accepted)
    : acceptor_(std::move(acceptor))
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
            run_then(
                [&] {
                    if (!error)
                    {
                        accepted_(std::move(socket));
                    }
                },
                [this] { accept_next(); });
        });
}

auto listener::close() -> void
{
    auto ignored = std::error_code{};
    acceptor_.close(ignored);
}

} // namespace sapphirereel::relay
