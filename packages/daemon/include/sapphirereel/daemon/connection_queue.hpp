/// \file
/// Defines how the server gives its connections to threads: each has its own
/// up to a limit, some more wait, and beyond that each is refused at once.
#ifndef SAPPHIREREEL_DAEMON_CONNECTION_QUEUE_HPP
#define SAPPHIREREEL_DAEMON_CONNECTION_QUEUE_HPP

#include "sapphirereel/daemon/blocking_pool.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <httplib.h>

namespace sapphirereel::daemon {

/// Bounds of the callers' connections.
struct connection_limits
{
    /// Connections that are served at once, one thread each.
    std::size_t served = 1024;
    /// Connections that wait for one of them to end.
    std::size_t waiting = 64;
    auto operator<=>(connection_limits const&) const = default;
};

/// A task queue for cpp-httplib. A connection beyond the bounds is handled by
/// a few threads kept for refusals, on which `refusing_thread()` is true.
class connection_queue : public httplib::TaskQueue
{
public:
    explicit connection_queue(connection_limits limits);

    auto enqueue(std::function<void()> connection) -> void override;
    auto shutdown() -> void override;

private:
    connection_limits limits_;
    std::atomic<std::size_t> open_ = 0;
    blocking_pool serving_;
    blocking_pool refusing_;
};

/// Whether the calling thread handles a connection beyond the bounds.
auto refusing_thread() -> bool;

} // namespace sapphirereel::daemon

#endif
