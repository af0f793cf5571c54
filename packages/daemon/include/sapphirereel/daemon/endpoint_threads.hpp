/// \file
/// Defines the threads that speak with endpoints: one for each open stream of
/// a run, one for each call. What they hear goes to the core as events.
#ifndef SAPPHIREREEL_DAEMON_ENDPOINT_THREADS_HPP
#define SAPPHIREREEL_DAEMON_ENDPOINT_THREADS_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/daemon/blocking_pool.hpp"
#include "sapphirereel/endpoint/engine_stream.hpp"
#include "sapphirereel/endpoint/timeouts.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace sapphirereel::daemon {

/// Where events go; callable from any thread.
using event_sink = std::function<void(event)>;

/// Timeouts towards endpoints.
struct endpoint_thread_settings
{
    endpoints::timeouts stream;
    endpoints::timeouts call;
    endpoints::timeouts load;
};

/// Carries out what the core asks of endpoints.
class endpoint_threads
{
public:
    endpoint_threads(
        endpoint_thread_settings settings,
        blocking_pool& pool,
        event_sink sink);

    auto perform(open_run const& what) -> void;
    auto perform(attach_run const& what) -> void;
    auto perform(stop_stream const& what) -> void;
    auto perform(cancel_run const& what) -> void;
    auto perform(send_call const& what) -> void;
    auto perform(poll_load const& what) -> void;

    /// Breaks off every stream, for the end of the process.
    auto stop_all() -> void;

private:
    using stream_pointer = std::shared_ptr<endpoints::engine_stream>;

    auto add(stream_number number, socket_address const& address)
        -> stream_pointer;
    auto remove(stream_number number) -> void;
    auto chunk_sink(stream_number number) -> endpoints::token_sink;

    endpoint_thread_settings settings_;
    blocking_pool& pool_;
    event_sink sink_;
    std::mutex mutex_;
    std::map<stream_number, stream_pointer> streams_;
};

} // namespace sapphirereel::daemon

#endif
