/// \file
/// Defines the threads that speak with the platform: a reader for each stream
/// of the log and one of the VM list, a writer for each stream.
#ifndef SAPPHIREREEL_DAEMON_PLATFORM_THREADS_HPP
#define SAPPHIREREEL_DAEMON_PLATFORM_THREADS_HPP

#include "sapphirereel/composition/action.hpp"
#include "sapphirereel/daemon/core_loop.hpp"
#include "sapphirereel/daemon/settings.hpp"
#include "sapphirereel/platform/log_client.hpp"
#include "sapphirereel/platform/vm_list_client.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sapphirereel::daemon {

/// A record that waits to be appended.
struct waiting_append
{
    append_token token;
    std::string body;
};

/// Appends to one stream, one record after another.
class log_writer
{
public:
    log_writer(platform::log_client log, stream_name stream, core_loop& loop);
    log_writer(log_writer const&) = delete;
    auto operator=(log_writer const&) -> log_writer& = delete;
    ~log_writer();

    auto append(waiting_append record) -> void;

private:
    auto work() -> void;

    platform::log_client log_;
    stream_name stream_;
    core_loop& loop_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<waiting_append> waiting_;
    bool closed_ = false;
    std::thread thread_;
};

/// All threads towards the platform. They end with the object.
class platform_threads
{
public:
    platform_threads(platform_settings const& settings, core_loop& loop);
    platform_threads(platform_threads const&) = delete;
    auto operator=(platform_threads const&) -> platform_threads& = delete;
    ~platform_threads();

    /// Starts to read. The core's loop must run.
    auto start() -> void;

    auto perform(append_record const& what) -> void;

private:
    auto read_configuration() -> void;
    auto read_claims() -> void;
    auto read_vm_list() -> void;
    auto pause(duration time) -> void;

    platform_settings settings_;
    core_loop& loop_;
    platform::log_client log_;
    platform::vm_list_client vms_;
    log_writer configuration_writer_;
    log_writer claim_writer_;
    std::atomic<bool> closed_ = false;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<std::thread> readers_;
};

} // namespace sapphirereel::daemon

#endif
