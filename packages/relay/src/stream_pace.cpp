#include "sapphirereel/relay/stream_pace.hpp"

#include <utility>

namespace sapphirereel::relay {

stream_pace::stream_pace(exchange& of, stream_demand const& demand)
    : exchange_(&of)
    , demand_(&demand)
{}

auto stream_pace::waits_for_pace(
    replica const& chosen, dispatch_estimate const& estimate, time_point now)
    -> bool
{
    auto& state = exchange_->state;
    auto const target = demand_->target_pause();
    auto const waits = target && may_wait_for_pace(estimate) &&
                       !state.replicas.pace().holds(chosen, *target) &&
                       state.replicas.is_pace_expected(
                           demand_->placement(), exchange_->engine(), now);
    if (waits && !std::exchange(has_waited_, true))
    {
        state.metrics.add(relay_counter::pace_waits);
    }
    return waits;
}

auto stream_pace::record_sent(replica const& target) -> void
{
    auto& state = exchange_->state;
    auto const longest = demand_->target_pause();
    auto& pace = state.replicas.pace();
    auto const* const known = pace.figures().find(target.id);
    if (!longest || known == nullptr)
    {
        return;
    }
    auto const holds = pace.holds(target, *longest);
    state.metrics.add(
        holds ? relay_counter::paced_streams
              : relay_counter::paced_streams_elsewhere);
    state.log.request(
        exchange_->request.id, "placed by pace",
        {{"replica", target.id},
         {"usual_pace", known->usual()},
         {"holds_target", holds},
         {"waited_for_pace", has_waited_}});
}

auto stream_pace::add_pause(duration pause) -> void
{
    pauses_.add(pause);
}

auto stream_pace::exclude_run() -> void
{
    pauses_.exclude();
}

auto stream_pace::end_run(replica const& at) -> void
{
    exchange_->state.replicas.pace().record_run(
        at, std::exchange(pauses_, run_pauses{}));
}

} // namespace sapphirereel::relay
