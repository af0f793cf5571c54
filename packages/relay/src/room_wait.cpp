#include "sapphirereel/relay/room_wait.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {

room_wait::room_wait(exchange& of, room_need need)
    : exchange_(&of)
    , need_(need)
{}

auto room_wait::record_arrival(time_point now) -> void
{
    exchange_->state.room.record_arrival(
        exchange_->service,
        {exchange_->granted.priority, need_.tokens,
         exchange_->granted.route->target_latency},
        now);
}

auto room_wait::has_competition(time_point now) const -> bool
{
    auto const& state = exchange_->state;
    if (!exchange_->granted.table->has_tiered_targets(exchange_->service))
    {
        return false;
    }
    return state.room.has_several_priorities(exchange_->service, now) ||
           state.held.is_any_of_other_priority(
               exchange_->service, exchange_->granted.priority, now);
}

auto room_wait::prefill_time() const -> duration
{
    return exchange_->state.prefill_pace_of(exchange_->service)
        .time_for(need_.prompt_tokens);
}

auto room_wait::stream() const -> held_stream
{
    return {
        exchange_->service, exchange_->granted.priority,
        exchange_->started_at + exchange_->granted.route->target_latency -
            prefill_time(),
        need_.tokens};
}

auto room_wait::terms() const -> caller_terms
{
    auto const& route = *exchange_->granted.route;
    return {
        exchange_->granted.deadline - exchange_->started_at,
        route.target_latency, route.target_pause};
}

auto room_wait::must_wait(time_point now) -> bool
{
    if (!has_competition(now))
    {
        return false;
    }
    auto const& held = exchange_->state.held;
    auto const yields =
        may_yield(
            now - exchange_->started_at,
            exchange_->granted.route->target_latency) &&
        held.is_any_more_urgent(
            exchange_->service, exchange_->granted.priority, now);
    if (yields)
    {
        record_yield();
    }
    // A new stream is attempted in the next turn, after those before it.
    return yields || (!hold_ && held.is_any_before(stream()));
}

auto room_wait::record_yield() -> void
{
    if (std::exchange(has_yielded_, true))
    {
        return;
    }
    exchange_->state.metrics.add(relay_counter::streams_yielded);
    exchange_->state.log.request(
        exchange_->request.id, "held for more urgent streams",
        {{"service", exchange_->service},
         {"priority", exchange_->granted.priority}});
}

auto room_wait::reserved_share(time_point now) const -> double
{
    auto const& state = exchange_->state;
    auto const engine = exchange_->engine();
    auto const is_tiered =
        exchange_->granted.table->has_tiered_targets(exchange_->service);
    if (!engine || !is_tiered ||
        !state.room.has_several_priorities(exchange_->service, now))
    {
        return 0;
    }
    auto const& listed = state.replicas.replicas();
    auto const replicas =
        std::count_if(listed.begin(), listed.end(), [this](auto const& each) {
            return each.second.service == exchange_->service &&
                   !each.second.leaving &&
                   !exchange_->state.replicas.is_evacuated(each.second);
        });
    return state.room.reserved_share(
        exchange_->service, exchange_->granted.priority,
        {state.daemons, static_cast<std::size_t>(replicas),
         engine->memory_tokens},
        now);
}

auto room_wait::record_no_room(time_point now) -> void
{
    exchange_->state.room_found.record_full(exchange_->service, now);
}

auto room_wait::hold(std::function<void()> attempt) -> void
{
    if (hold_)
    {
        return;
    }
    hold_ = exchange_->state.held.hold(stream(), std::move(attempt));
    if (!std::exchange(was_held_, true))
    {
        exchange_->state.metrics.add(relay_counter::streams_held);
    }
}

auto room_wait::release() -> void
{
    if (auto const which = std::exchange(hold_, std::nullopt))
    {
        exchange_->state.held.release(*which);
    }
}

auto room_wait::record_sent(time_point now) -> void
{
    release();
    exchange_->state.room_found.record_sent(
        exchange_->service, need_.tokens, now);
}

auto room_wait::attempt_in_order(time_point now) -> bool
{
    if (!hold_ || !has_competition(now))
    {
        return false;
    }
    // Copied because the attempt may destroy the stream and its exchange.
    auto const service = exchange_->service;
    exchange_->state.held.attempt_in_order(service);
    return true;
}

auto room_wait::longest_wait(duration usual_limit, time_point now) const
    -> duration
{
    return has_competition(now) ? longest_hold(terms(), usual_limit)
                                : usual_limit;
}

auto room_wait::expected_wait(time_point now) const -> std::optional<duration>
{
    if (!has_competition(now))
    {
        return std::nullopt;
    }
    auto const& state = exchange_->state;
    return state.room_found.expected_wait(
        exchange_->service, state.held.tokens_until(stream(), now, hold_), now);
}

auto room_wait::futile_wait(time_point now) const -> std::optional<duration>
{
    if (exchange_->may_have_run())
    {
        return std::nullopt;
    }
    auto const wait = expected_wait(now);
    auto const waited = now - exchange_->started_at;
    if (!wait ||
        starts_for_its_caller({waited, *wait, prefill_time()}, terms()))
    {
        return std::nullopt;
    }
    exchange_->state.log.request(
        exchange_->request.id, "cannot start while its caller waits",
        {{"service", exchange_->service},
         {"priority", exchange_->granted.priority},
         {"tokens", need_.tokens},
         {"waited", waited},
         {"expected_wait", *wait}});
    return wait;
}

} // namespace sapphirereel::relay
