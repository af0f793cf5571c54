#include "sapphirereel/daemon/action_meter.hpp"

namespace sapphirereel::daemon {

namespace {

/// A pause between two tokens counts as a stall beyond this.
constexpr auto stall_limit = duration{std::chrono::milliseconds{250}};

} // namespace

auto action_meter::count(event const& what, actions const& done, time_point now)
    -> void
{
    std::visit([&](auto const& one) { take(one, now); }, what);
    for (auto const& action : done)
    {
        std::visit([&](auto const& one) { take(one, now); }, action);
    }
}

auto action_meter::read(daemon_core const& core) -> void
{
    auto const& generations = core.generations().counts();
    raise(counter::resumed_streams, generations.resumed, resumed_);
    raise(counter::lost_engines, generations.engines_lost, lost_engines_);
    raise(counter::continued_generations, generations.moved, moved_);
    raise(counter::retries, core.calls().counts().retried, retried_);
    auto const& once = core.calls().once().counts();
    raise(counter::outcomes_unknown, once.outcome_unknown, unknown_);
    raise(counter::claims, once.entries_appended, claims_);
    auto const open = core.generations().open();
    all_.set(gauge::streams, static_cast<std::int64_t>(open));
    auto const live = core.view().live.size();
    all_.set(gauge::live_daemons, static_cast<std::int64_t>(live));
    auto const offset = core.configuration().in_force().offset.value;
    all_.set(gauge::configuration_offset, static_cast<std::int64_t>(offset));
}

auto action_meter::take(generation_arrived const& arrived, time_point now)
    -> void
{
    all_.add(counter::requests);
    streams_[arrived.request.attachment] = {now, std::nullopt};
}

auto action_meter::take(call_arrived const&, time_point) -> void
{
    all_.add(counter::requests);
}

auto action_meter::take(caller_closed const& closed, time_point) -> void
{
    streams_.erase(closed.attachment);
}

auto action_meter::take(append_result const& outcome, time_point) -> void
{
    if (outcome.outcome != append_outcome::appended)
    {
        all_.add(counter::log_append_failures);
    }
}

auto action_meter::take(deliver_chunk const& chunk, time_point now) -> void
{
    auto const found = streams_.find(chunk.attachment);
    if (!chunk.chunk.is_token || found == streams_.end())
    {
        return;
    }
    all_.add(counter::tokens);
    auto& times = found->second;
    if (!times.last_token)
    {
        all_.observe(timing::first_token, now - times.arrived);
    }
    else
    {
        auto const gap = now - *times.last_token;
        all_.observe(timing::inter_token, gap);
        if (gap > stall_limit)
        {
            all_.observe(timing::stall, gap - stall_limit);
        }
    }
    times.last_token = now;
}

auto action_meter::take(finish_generation const& finished, time_point) -> void
{
    streams_.erase(finished.attachment);
}

auto action_meter::take(refuse_caller const& refused, time_point) -> void
{
    all_.add_refusal(refused.reason.cause, refused.reason.outcome);
    streams_.erase(refused.attachment);
}

auto action_meter::take(append_record const&, time_point) -> void
{
    all_.add(counter::log_appends);
}

auto action_meter::take(edit_decided const& decided, time_point) -> void
{
    if (decided.verdict.kind == verdict_kind::accepted)
    {
        all_.add(counter::edits_applied);
    }
    else if (decided.verdict.kind == verdict_kind::rejected)
    {
        all_.add(counter::edits_rejected);
    }
}

auto action_meter::raise(
    counter which, std::uint64_t total, std::uint64_t& seen) -> void
{
    all_.add(which, total - seen);
    seen = total;
}

} // namespace sapphirereel::daemon
