/// \file
/// Defines a pool of threads for tasks that block, such as reading a stream.
/// A task never waits behind another one: a thread is added when none is idle.
#ifndef SAPPHIREREEL_DAEMON_BLOCKING_POOL_HPP
#define SAPPHIREREEL_DAEMON_BLOCKING_POOL_HPP

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sapphirereel::daemon {

/// Threads that run tasks, kept for reuse. Joins them all when destroyed, so
/// that tasks must end by themselves by then.
class blocking_pool
{
public:
    /// At most `limit` threads; further tasks wait for one of them.
    explicit blocking_pool(std::size_t limit);
    blocking_pool(blocking_pool const&) = delete;
    auto operator=(blocking_pool const&) -> blocking_pool& = delete;
    ~blocking_pool();

    /// Runs a task on some thread. May be called from any thread.
    auto run(std::function<void()> task) -> void;

private:
    auto work() -> void;

    std::size_t limit_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> tasks_;
    std::vector<std::thread> threads_;
    std::size_t idle_ = 0;
    bool closed_ = false;
};

} // namespace sapphirereel::daemon

#endif
