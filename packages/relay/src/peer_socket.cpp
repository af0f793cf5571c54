#include "sapphirereel/relay/peer_socket.hpp"

#include "sapphirereel/core/containment.hpp"

#include <utility>

namespace sapphirereel::relay {

peer_socket::peer_socket(
    asio::ip::udp::socket socket, std::uint16_t port, received_handler received)
    : socket_(std::move(socket))
    , port_(port)
    , received_(std::move(received))
{}

auto peer_socket::open(
    asio::io_context& loop,
    std::string const& ip,
    std::uint16_t port,
    received_handler received)
    -> tl::expected<std::unique_ptr<peer_socket>, std::string>
{
    auto error = std::error_code{};
    auto const address = asio::ip::make_address(ip, error);
    auto socket = asio::ip::udp::socket{loop};
    if (!error)
    {
        socket.open(asio::ip::udp::v4(), error);
    }
    if (!error)
    {
        socket.bind({address, port}, error);
    }
    if (!error)
    {
        socket.non_blocking(true, error);
    }
    if (error)
    {
        return tl::unexpected(
            "cannot open the UDP socket for peer reports on " + ip + ":" +
            std::to_string(port) + ": " + error.message());
    }
    auto made = std::unique_ptr<peer_socket>{
        new peer_socket{std::move(socket), port, std::move(received)}};
    made->wait();
    return made;
}

auto peer_socket::wait() -> void
{
    socket_.async_wait(
        asio::ip::udp::socket::wait_read, [this](std::error_code error) {
            if (error)
            {
                return;
            }
            run_then([this] { receive_waiting(); }, [this] { wait(); });
        });
}

auto peer_socket::receive_waiting() -> void
{
    while (true)
    {
        auto error = std::error_code{};
        auto from = asio::ip::udp::endpoint{};
        auto const size =
            socket_.receive_from(asio::buffer(buffer_), from, 0, error);
        if (error)
        {
            return;
        }
        received_(std::string_view{buffer_.data(), size});
    }
}

auto peer_socket::send(std::string const& ip, std::string_view bytes) -> void
{
    auto error = std::error_code{};
    auto const address = asio::ip::make_address(ip, error);
    if (!error)
    {
        // Errors are ignored: the next report makes up for a lost one.
        socket_.send_to(
            asio::buffer(bytes.data(), bytes.size()), {address, port_}, 0,
            error);
    }
}

} // namespace sapphirereel::relay
