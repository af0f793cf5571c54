#include "sapphirereel/standins/http_server.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <filesystem>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>

namespace sapphirereel::standins {
namespace {

/// Connections that the kernel holds until they are accepted.
constexpr auto listen_backlog = 4096;
constexpr auto keep_alive_seconds = 2;
constexpr auto keep_alive_requests = std::size_t{10'000};
constexpr auto transfer_timeout = std::chrono::seconds{10};

auto answer_exception(std::exception_ptr const& exception) -> nlohmann::json
{
    try
    {
        std::rethrow_exception(exception);
    }
    catch (std::exception const& error)
    {
        return {{"error", error.what()}};
    }
}

auto is_json_error(std::exception_ptr const& exception) -> bool
{
    try
    {
        std::rethrow_exception(exception);
    }
    catch (nlohmann::json::exception const&)
    {
        return true;
    }
    catch (std::exception const&)
    {
        return false;
    }
}

auto port_of(sockaddr_in const& address) -> int
{
    return ntohs(address.sin_port);
}

/// Whether a socket is this side's end of the request's connection.
auto carries(int socket, httplib::Request const& request) -> bool
{
    auto local = sockaddr_in{};
    auto remote = sockaddr_in{};
    auto local_size = static_cast<socklen_t>(sizeof(local));
    auto remote_size = static_cast<socklen_t>(sizeof(remote));
    auto* const local_name = reinterpret_cast<sockaddr*>(&local);
    auto* const remote_name = reinterpret_cast<sockaddr*>(&remote);
    return ::getsockname(socket, local_name, &local_size) == 0 &&
           ::getpeername(socket, remote_name, &remote_size) == 0 &&
           port_of(local) == request.local_port &&
           port_of(remote) == request.remote_port;
}

auto descriptor_of(std::filesystem::path const& entry) -> std::optional<int>
{
    auto const name = entry.filename().string();
    auto value = 0;
    auto const* const end = name.data() + name.size();
    auto const parsed = std::from_chars(name.data(), end, value);
    return parsed.ptr == end ? std::optional{value} : std::nullopt;
}

} // namespace

auto http_server::start(
    server_settings const& settings, route_definer const& define_routes)
    -> result<std::unique_ptr<http_server>>
{
    auto server = std::unique_ptr<http_server>{new http_server{settings}};
    define_routes(server->server_);
    if (!server->bind())
    {
        auto const& address = settings.address;
        return tl::unexpected{findings{finding{
            place{"--listen", 0, {}},
            "cannot listen on " + address.ip + ":" +
                std::to_string(address.port),
            "choose an address of this machine and a free port"}}};
    }
    server->listen();
    return server;
}

http_server::http_server(server_settings const& settings)
    : settings_(settings)
{
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_timeout(keep_alive_seconds);
    server_.set_keep_alive_max_count(keep_alive_requests);
    server_.set_read_timeout(transfer_timeout);
    server_.set_write_timeout(transfer_timeout);
    server_.set_payload_max_length(settings.max_body_bytes);
    server_.new_task_queue = [threads = settings.threads] {
        return new httplib::ThreadPool{threads};
    };
    server_.set_socket_options([this](socket_t socket) {
        listening_socket_ = socket;
        // The library's default lets a second server share the port unseen.
        auto const on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    server_.set_exception_handler(
        [](auto const&, auto& response, std::exception_ptr const& exception) {
            auto const status = is_json_error(exception) ? 400 : 500;
            reply(response, status, answer_exception(exception));
        });
}

http_server::~http_server()
{
    server_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

auto http_server::address() const -> socket_address
{
    return settings_.address;
}

auto http_server::bind() -> bool
{
    auto& address = settings_.address;
    if (address.port != 0)
    {
        return server_.bind_to_port(address.ip, address.port);
    }
    auto const port = server_.bind_to_any_port(address.ip);
    address.port = static_cast<std::uint16_t>(port > 0 ? port : 0);
    return port > 0;
}

auto http_server::listen() -> void
{
    // The library listens with a backlog of 5, which loses callers that
    // connect at once; a second listen() widens it.
    ::listen(listening_socket_, listen_backlog);
    thread_ = std::thread{[this] {
        server_.listen_after_bind();
    }};
    // stop() has no effect before the server runs.
    while (!server_.is_running())
    {
        std::this_thread::yield();
    }
}

auto reply(httplib::Response& response, int status, nlohmann::json const& body)
    -> void
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

auto drop_connection(httplib::Request const& request) -> void
{
    auto const entries = std::filesystem::directory_iterator{"/proc/self/fd"};
    for (auto const& entry : entries)
    {
        auto const socket = descriptor_of(entry.path());
        if (socket && carries(*socket, request))
        {
            ::shutdown(*socket, SHUT_RDWR);
        }
    }
}

} // namespace sapphirereel::standins
