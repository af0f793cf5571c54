#include "sapphirereel/daemon/blocking_pool.hpp"

#include <utility>

namespace sapphirereel::daemon {

blocking_pool::blocking_pool(std::size_t limit)
    : limit_(limit)
{}

blocking_pool::~blocking_pool()
{
    {
        auto const lock = std::lock_guard{mutex_};
        closed_ = true;
    }
    wake_.notify_all();
    for (auto& thread : threads_)
    {
        thread.join();
    }
}

auto blocking_pool::run(std::function<void()> task) -> void
{
    auto const lock = std::lock_guard{mutex_};
    tasks_.push_back(std::move(task));
    auto const all_busy = tasks_.size() > idle_;
    if (all_busy && threads_.size() < limit_)
    {
        threads_.emplace_back([this] { work(); });
    }
    wake_.notify_one();
}

auto blocking_pool::work() -> void
{
    auto lock = std::unique_lock{mutex_};
    while (true)
    {
        ++idle_;
        wake_.wait(lock, [this] { return closed_ || !tasks_.empty(); });
        --idle_;
        if (tasks_.empty())
        {
            return;
        }
        auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace sapphirereel::daemon
