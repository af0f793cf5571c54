#include "sapphirereel/daemon/connection_queue.hpp"

#include <utility>

namespace sapphirereel::daemon {

namespace {

/// Threads that refuse connections beyond the bounds.
constexpr auto refusing_threads = std::size_t{4};

thread_local auto refusing = false;

} // namespace

connection_queue::connection_queue(connection_limits limits)
    : limits_(limits)
    , serving_(limits.served)
    , refusing_(refusing_threads)
{}

auto connection_queue::enqueue(std::function<void()> connection) -> void
{
    if (open_ >= limits_.served + limits_.waiting)
    {
        refusing_.run([connection = std::move(connection)] {
            refusing = true;
            connection();
        });
        return;
    }
    ++open_;
    serving_.run([this, connection = std::move(connection)] {
        connection();
        --open_;
    });
}

auto connection_queue::shutdown() -> void
{
    // The pools join their threads when this object is destroyed, which the
    // server does after this call.
}

auto refusing_thread() -> bool
{
    return refusing;
}

} // namespace sapphirereel::daemon
