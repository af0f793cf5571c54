/// \file
/// Defines the running daemon: the core with sockets, threads and timers
/// round it.
#ifndef SAPPHIREREEL_DAEMON_DAEMON_PROCESS_HPP
#define SAPPHIREREEL_DAEMON_DAEMON_PROCESS_HPP

#include "sapphirereel/daemon/blocking_pool.hpp"
#include "sapphirereel/daemon/caller_channel.hpp"
#include "sapphirereel/daemon/caller_server.hpp"
#include "sapphirereel/daemon/core_loop.hpp"
#include "sapphirereel/daemon/endpoint_threads.hpp"
#include "sapphirereel/daemon/logger.hpp"
#include "sapphirereel/daemon/operator_desk.hpp"
#include "sapphirereel/daemon/peer_link.hpp"
#include "sapphirereel/daemon/platform_threads.hpp"
#include "sapphirereel/daemon/settings.hpp"
#include "sapphirereel/daemon/trace_recorder.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace sapphirereel::daemon {

/// What a process is started with beside its settings.
struct process_options
{
    /// Whether the core's events are recorded from the start.
    bool record = false;
};

/// One daemon. `run` returns when a planned stop is complete.
/// Example:
/// \code
/// auto process = daemon_process::create(settings, {});
/// (*process)->run();
/// \endcode
class daemon_process
{
public:
    /// Opens all sockets; findings if one cannot be had.
    static auto create(settings const& settings, process_options options)
        -> result<std::unique_ptr<daemon_process>>;

    daemon_process(daemon_process const&) = delete;
    auto operator=(daemon_process const&) -> daemon_process& = delete;
    ~daemon_process();

    /// Serves until the planned stop that SIGTERM, SIGINT or an operator
    /// begins is complete.
    auto run() -> void;

private:
    daemon_process(settings const& settings, daemon_id id, daemon_core core);

    auto open_sockets(std::uint64_t seed) -> findings;
    auto perform(action const& what) -> void;
    auto tick() -> void;
    auto copy_control_totals() -> void;
    auto await_signal() -> void;

    template <class Action>
    auto carry_out(Action const& what) -> void;

    settings settings_;
    daemon_id id_;
    asio::io_context io_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::steady_timer timer_;
    asio::signal_set signals_;
    logger log_;
    trace_recorder recorder_;
    metrics metrics_;
    core_loop loop_;
    caller_table callers_;
    operator_desk operators_;
    std::promise<void> stopped_;
    std::unique_ptr<peer_link> peers_;
    // Destroyed in this order from the last: servers first, then readers,
    // then the threads that the endpoints' answers come on.
    std::optional<blocking_pool> pool_;
    std::optional<endpoint_threads> endpoints_;
    std::optional<platform_threads> platform_;
    std::unique_ptr<caller_server> server_;
    std::thread core_thread_;
};

} // namespace sapphirereel::daemon

#endif
