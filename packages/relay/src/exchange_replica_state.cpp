#include "sapphirereel/relay/exchange.hpp"

namespace sapphirereel::relay {
namespace {

auto record_pace(
    relay_state& state,
    replica const& at,
    reported_load const& load,
    time_point now) -> void
{
    auto const is_invalid =
        load.pace &&
        !state.replicas.pace().figures().record_figure(at, *load.pace, now);
    if (is_invalid)
    {
        state.metrics.add(relay_counter::invalid_paces);
    }
}

} // namespace

auto record_replica_state(
    relay_state& state,
    replica const& at,
    replica_response const& response,
    time_point sent_at,
    time_point now) -> void
{
    auto const is_other =
        !response.replica.str().empty() && response.replica != at.id;
    if (is_other)
    {
        return;
    }
    if (response.load)
    {
        state.replicas.set_reported_load(at.id, *response.load, now);
        record_pace(state, at, *response.load, now);
    }
    if (state.gate.limits().record_response(at, response.limits, sent_at, now))
    {
        state.log.info(
            "replicas", "a replica states other limits",
            {{"replica", at.id},
             {"rate", response.limits.rate.value_or(0)},
             {"rejections", response.limits.rejections.value_or(0)}});
        state.limits_changed();
    }
    if (response.has_invalid_cold)
    {
        state.metrics.add(relay_counter::invalid_cold_times);
    }
    if (response.cold &&
        state.gate.cold().record_response(at, *response.cold, sent_at, now))
    {
        state.metrics.add(relay_counter::replicas_turned_cold);
        state.log.info(
            "replicas", "a replica says that it is cold",
            {{"replica", at.id}, {"remaining", *response.cold}});
        state.limits_changed();
    }
    if (response.not_run)
    {
        state.gate.record_rejection(at.id, now);
    }
    if (response.backoff)
    {
        state.metrics.add(relay_counter::replica_backoffs);
        state.log.info(
            "replicas", "a replica asked for a backoff",
            {{"replica", at.id}, {"backoff", *response.backoff}});
        state.replicas.set_backoff(at.id, *response.backoff, now);
    }
    if (response.leaves)
    {
        state.replica_announced_leaving(at);
    }
}

} // namespace sapphirereel::relay
