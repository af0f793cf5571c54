/// \file
/// Defines the HTTP server towards callers and operators.
#ifndef SAPPHIREREEL_DAEMON_CALLER_SERVER_HPP
#define SAPPHIREREEL_DAEMON_CALLER_SERVER_HPP

#include "sapphirereel/daemon/body_reader.hpp"
#include "sapphirereel/daemon/caller_channel.hpp"
#include "sapphirereel/daemon/core_loop.hpp"
#include "sapphirereel/daemon/operator_routes.hpp"
#include "sapphirereel/daemon/request_intake.hpp"
#include "sapphirereel/daemon/request_naming.hpp"
#include "sapphirereel/daemon/settings.hpp"

#include <httplib.h>
#include <memory>
#include <thread>

namespace sapphirereel::daemon {

/// Serves callers and operators on one address. A thread carries each
/// connection.
class caller_server
{
public:
    /// Binds the address; a finding if that fails.
    static auto open(
        settings const& settings,
        core_loop& loop,
        caller_table& callers,
        operator_parts operators,
        std::uint64_t seed) -> result<std::unique_ptr<caller_server>>;

    caller_server(caller_server const&) = delete;
    auto operator=(caller_server const&) -> caller_server& = delete;

    /// Stops listening and waits for the connections to end.
    ~caller_server();

    /// Begins to serve, on threads of its own. The core's loop must run.
    auto start() -> void;

    /// Port that is listened on.
    [[nodiscard]] auto port() const -> int
    {
        return port_;
    }

private:
    caller_server(
        settings const& settings,
        core_loop& loop,
        caller_table& callers,
        operator_parts operators,
        std::uint64_t seed);

    auto configure() -> void;
    auto bind() -> bool;
    auto add_routes() -> void;
    auto context() -> intake_context;
    auto generate(
        codec::openai_kind kind,
        httplib::Request const& request,
        httplib::Response& response) -> void;
    auto call(httplib::Request const& request, httplib::Response& response)
        -> void;
    auto answer_addresses(httplib::Response& response) -> void;
    auto answer_models(httplib::Response& response) -> void;

    settings settings_;
    core_loop& loop_;
    caller_table& callers_;
    request_naming names_;
    body_reader bodies_;
    httplib::Server server_;
    int listening_socket_ = -1;
    int port_ = 0;
    std::thread thread_;
};

} // namespace sapphirereel::daemon

#endif
