/// \file
/// Defines the HTTP server that every stand-in runs on.
#ifndef SAPPHIREREEL_STANDINS_HTTP_SERVER_HPP
#define SAPPHIREREEL_STANDINS_HTTP_SERVER_HPP

#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"

#include <cstddef>
#include <functional>
#include <httplib.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace sapphirereel::standins {

/// Where and how wide a stand-in listens. Port 0 takes any free one.
struct server_settings
{
    socket_address address{"127.0.0.1", 0};
    /// Connections served at once: each has a thread for as long as it is open.
    std::size_t threads = 64;
    std::size_t max_body_bytes = std::size_t{8} << 20;
    auto operator<=>(server_settings const&) const = default;
};

/// A running server. Its handlers answer 400 to JSON that they can't read.
class http_server
{
public:
    using route_definer = std::function<void(httplib::Server&)>;

    static auto start(
        server_settings const& settings, route_definer const& define_routes)
        -> result<std::unique_ptr<http_server>>;

    http_server(http_server const&) = delete;
    auto operator=(http_server const&) -> http_server& = delete;

    /// Stops and waits for every handler to return.
    ~http_server();

    /// Where it listens.
    [[nodiscard]] auto address() const -> socket_address;

private:
    explicit http_server(server_settings const& settings);
    auto bind() -> bool;
    auto listen() -> void;

    server_settings settings_;
    httplib::Server server_;
    int listening_socket_ = -1;
    std::thread thread_;
};

/// Answers with a JSON value.
auto reply(httplib::Response& response, int status, nlohmann::json const& body)
    -> void;

/// Closes the connection that a request came on, so that its sender gets no
/// answer.
auto drop_connection(httplib::Request const& request) -> void;

} // namespace sapphirereel::standins

#endif
