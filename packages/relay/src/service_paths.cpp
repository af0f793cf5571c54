#include "sapphirereel/relay/service_paths.hpp"

#include "sapphirereel/relay/exchange.hpp"
#include "sapphirereel/telemetry/clocks.hpp"

#include <random>
#include <vector>

namespace sapphirereel::relay {

service_paths::service_paths(
    relay_state& state, peer_gossip& peers, std::uint16_t peer_port)
    : state_(&state)
    , peers_(&peers)
    , peer_port_(peer_port)
{}

auto service_paths::choose_peer(forward_need const& need, time_point now)
    -> std::optional<listen_address>
{
    auto const chosen = choose_forward_target(
        peers_->alive(now), need, state_->forwarded, state_->random);
    return chosen ? std::optional{listen_address{*chosen, peer_port_}}
                  : std::nullopt;
}

auto service_paths::close(service_name const& service) -> void
{
    state_->metrics.add(relay_counter::paths_lost);
    state_->log.warning(
        "paths", "lost the path to a service's replicas",
        {{"service", service}});
    for (auto const& [id, each] : state_->replicas.replicas())
    {
        auto const to = address_of(each);
        if (each.service == service && to)
        {
            state_->pool.close_idle(*to);
        }
    }
    peers_->schedule_report(report_scope::all);
}

auto service_paths::try_lost(time_point now) -> void
{
    for (auto const& service : state_->paths.due_trials(now))
    {
        try_path(service);
    }
}

auto service_paths::try_path(service_name const& service) -> void
{
    auto usable = std::vector<asio::ip::tcp::endpoint>{};
    for (auto const& [id, each] : state_->replicas.replicas())
    {
        auto const to = address_of(each);
        auto const is_usable =
            !each.leaving && !state_->replicas.is_evacuated(each);
        if (each.service == service && is_usable && to)
        {
            usable.push_back(*to);
        }
    }
    if (usable.empty())
    {
        state_->paths.forget(service);
        return;
    }
    auto pick =
        std::uniform_int_distribution<std::size_t>{0, usable.size() - 1};
    state_->pool.connect(
        usable[pick(state_->random)], call_options{}.connect_timeout,
        [state = state_,
         service](std::shared_ptr<connection> const& made, std::error_code) {
            if (!made)
            {
                return;
            }
            made->close();
            state->paths.record_trial_connection(
                service, telemetry::monotonic_now());
            state->log.info(
                "paths", "connected to a service without a path",
                {{"service", service}});
        });
}

} // namespace sapphirereel::relay
