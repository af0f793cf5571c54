/// \file
/// Defines the thread that steps the core: events come from any thread, are
/// taken one at a time, and their actions are performed in order.
#ifndef SAPPHIREREEL_DAEMON_CORE_LOOP_HPP
#define SAPPHIREREEL_DAEMON_CORE_LOOP_HPP

#include "sapphirereel/composition/daemon_core.hpp"
#include "sapphirereel/daemon/action_meter.hpp"
#include "sapphirereel/daemon/trace_recorder.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#ifndef ASIO_STANDALONE
#define ASIO_STANDALONE
#endif
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <functional>
#include <future>
#include <memory>
#include <type_traits>
#include <utility>

namespace sapphirereel::daemon {

/// Steps a core on the thread that runs the io_context.
class core_loop
{
public:
    using performer = std::function<void(action const&)>;

    core_loop(
        asio::io_context& io,
        daemon_core core,
        trace_recorder& recorder,
        metrics& all)
        : io_(io)
        , core_(std::move(core))
        , recorder_(recorder)
        , meter_(all)
    {}

    /// Sets the metrics that are read off the core. Not to be called on the
    /// core's thread.
    auto read_metrics() -> void
    {
        ask([this](daemon_core& core) {
            meter_.read(core);
            return true;
        });
    }

    /// Sets what performs the actions, before the first event.
    auto perform_with(performer perform) -> void
    {
        perform_ = std::move(perform);
    }

    /// Steps the core with an event, soon. May be called from any thread.
    auto post(event what) -> void
    {
        asio::post(io_, [this, what = std::move(what)] { take(what); });
    }

    /// Steps the core with an event now. Only on the core's thread.
    auto take(event const& what) -> void
    {
        auto const now = telemetry::monotonic_now();
        auto const done = core_.step(what, now);
        recorder_.record(what, now, done);
        meter_.count(what, done, now);
        for (auto const& one : done)
        {
            perform_(one);
        }
    }

    /// Runs a question on the core's thread and waits for its answer. Not to
    /// be called on that thread.
    template <class Question>
    auto ask(Question question) -> std::invoke_result_t<Question, daemon_core&>
    {
        using answer = std::invoke_result_t<Question, daemon_core&>;
        auto task = std::make_shared<std::packaged_task<answer()>>(
            [this, question = std::move(question)] { return question(core_); });
        auto future = task->get_future();
        asio::post(io_, [task] { (*task)(); });
        return future.get();
    }

private:
    asio::io_context& io_;
    daemon_core core_;
    trace_recorder& recorder_;
    action_meter meter_;
    performer perform_;
};

} // namespace sapphirereel::daemon

#endif
