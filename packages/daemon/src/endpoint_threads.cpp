#include "sapphirereel/daemon/endpoint_threads.hpp"

#include "sapphirereel/endpoint/engine_client.hpp"
#include "sapphirereel/endpoint/plain_client.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <utility>

namespace sapphirereel::daemon {

namespace {

auto end_of(endpoints::stream_end end) -> run_end
{
    switch (end)
    {
    case endpoints::stream_end::finished:
        return run_end::finished;
    case endpoints::stream_end::refused_not_run:
        return run_end::refused_not_run;
    case endpoints::stream_end::rejected:
        return run_end::rejected;
    case endpoints::stream_end::superseded:
        return run_end::superseded;
    case endpoints::stream_end::unknown_run:
        return run_end::unknown_run;
    case endpoints::stream_end::cancelled:
        return run_end::cancelled;
    case endpoints::stream_end::lost:
        break;
    }
    return run_end::lost;
}

auto outcome_of(endpoints::stream_outcome const& ended) -> run_outcome
{
    return {end_of(ended.end), ended.status, ended.detail};
}

auto progress_of(endpoints::plain_call_status status) -> call_progress
{
    switch (status)
    {
    case endpoints::plain_call_status::answered:
        return call_progress::answered;
    case endpoints::plain_call_status::not_sent:
    case endpoints::plain_call_status::refused:
        return call_progress::not_sent;
    case endpoints::plain_call_status::unanswered:
        break;
    }
    return call_progress::unknown;
}

auto chunk_of(endpoints::token_event const& heard) -> run_chunk
{
    return {
        heard.index, !heard.usage.has_value(), heard.chunk_json, heard.delta};
}

auto report_of(endpoints::load_report const& heard) -> load_report
{
    auto report = load_report{};
    report.memory_tokens_used = static_cast<double>(heard.memory_tokens_used);
    report.memory_tokens_total = static_cast<double>(heard.memory_tokens_total);
    report.running = heard.running;
    report.waiting = heard.waiting;
    report.preemptions = heard.preemptions;
    report.age = heard.age;
    return report;
}

auto request_of(open_run const& what) -> endpoints::run_request
{
    auto request = endpoints::run_request{};
    request.run = what.start.run;
    request.path = what.path;
    request.body = what.body;
    request.priority = what.priority;
    if (what.start.resume)
    {
        request.resume = endpoints::output_prefix{
            what.start.resume->text, what.start.resume->tokens};
    }
    return request;
}

} // namespace

endpoint_threads::endpoint_threads(
    endpoint_thread_settings settings, blocking_pool& pool, event_sink sink)
    : settings_(settings)
    , pool_(pool)
    , sink_(std::move(sink))
{}

auto endpoint_threads::perform(open_run const& what) -> void
{
    auto const number = what.start.stream;
    auto stream = add(number, what.start.place.address);
    pool_.run([this, number, stream, request = request_of(what)] {
        auto const ended = stream->run(request, chunk_sink(number));
        remove(number);
        sink_(stream_ended{number, outcome_of(ended)});
    });
}

auto endpoint_threads::perform(attach_run const& what) -> void
{
    auto const number = what.stream;
    auto stream = add(number, what.place.address);
    auto const request =
        endpoints::attach_request{what.run, what.from, what.attachment_number};
    pool_.run([this, number, stream, request] {
        auto const ended = stream->attach(request, chunk_sink(number));
        remove(number);
        sink_(stream_ended{number, outcome_of(ended)});
    });
}

auto endpoint_threads::perform(stop_stream const& what) -> void
{
    auto const lock = std::lock_guard{mutex_};
    auto const found = streams_.find(what.stream);
    if (found != streams_.end())
    {
        found->second->stop();
    }
}

auto endpoint_threads::perform(cancel_run const& what) -> void
{
    auto engine = endpoints::engine_client{what.place.address, settings_.load};
    // A run that can't be cancelled ends by the engine's grace time.
    pool_.run([engine, run = what.run] { (void)engine.cancel(run); });
}

auto endpoint_threads::perform(send_call const& what) -> void
{
    pool_.run([this, what] {
        if (telemetry::monotonic_now() >= what.not_after)
        {
            sink_(call_ended{what.number, call_progress::not_sent, {}});
            return;
        }
        auto client = endpoints::plain_client{what.address, settings_.call};
        auto const ended = client.call(what.content);
        sink_(call_ended{what.number, progress_of(ended.status), ended.answer});
    });
}

auto endpoint_threads::perform(poll_load const& what) -> void
{
    auto engine = endpoints::engine_client{what.address, settings_.load};
    pool_.run([this, engine, endpoint = what.endpoint] {
        auto const heard = engine.load();
        auto arrived = load_arrived{endpoint, std::nullopt};
        if (heard)
        {
            arrived.report = report_of(*heard);
        }
        sink_(std::move(arrived));
    });
}

auto endpoint_threads::stop_all() -> void
{
    auto const lock = std::lock_guard{mutex_};
    for (auto const& [number, stream] : streams_)
    {
        stream->stop();
    }
}

auto endpoint_threads::add(stream_number number, socket_address const& address)
    -> stream_pointer
{
    auto stream =
        std::make_shared<endpoints::engine_stream>(address, settings_.stream);
    auto const lock = std::lock_guard{mutex_};
    streams_.emplace(number, stream);
    return stream;
}

auto endpoint_threads::remove(stream_number number) -> void
{
    auto const lock = std::lock_guard{mutex_};
    streams_.erase(number);
}

auto endpoint_threads::chunk_sink(stream_number number) -> endpoints::token_sink
{
    return [this, number](endpoints::token_event const& heard) {
        sink_(chunk_arrived{number, chunk_of(heard)});
        return true;
    };
}

} // namespace sapphirereel::daemon
