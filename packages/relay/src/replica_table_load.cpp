#include "sapphirereel/relay/replica_table.hpp"

#include "load_sum.hpp"
#include "replica_eligibility.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Age above which a peer's count is dropped.
constexpr auto peer_load_max_age = duration{std::chrono::seconds{3}};

} // namespace

auto replica_table::add(endpoint_id const& id, replica_load const& load) -> void
{
    add_load(own_[id], load);
    auto const reported = reported_loads_.find(id);
    if (reported != reported_loads_.end())
    {
        reported->second.sent_since += load.requests;
    }
}

auto replica_table::remove(endpoint_id const& id, replica_load const& load)
    -> void
{
    subtract_load(own_, id, load);
}

auto replica_table::subtract_peer_load(timed_peer_load const& count) -> void
{
    for (auto const& [id, load] : count.report)
    {
        subtract_load(peer_total_, id, load);
    }
}

auto replica_table::expire_peers(time_point now) -> void
{
    auto const expire = [&](auto const& each) {
        auto const is_old = now - each.second.at > peer_load_max_age;
        if (is_old)
        {
            subtract_peer_load(each.second);
        }
        return is_old;
    };
    std::erase_if(peers_, expire);
    std::erase_if(zones_, expire);
}

auto replica_table::replace_load(
    timed_peer_load& count, load_report report, time_point now) -> void
{
    subtract_peer_load(count);
    auto requests = 0.0;
    for (auto const& [id, load] : report)
    {
        add_load(peer_total_[id], load);
        requests += load.requests;
    }
    count = {std::move(report), now, requests};
    expire_peers(now);
}

auto replica_table::set_peer_load(
    daemon_id const& peer, load_report report, time_point now) -> void
{
    replace_load(peers_[peer], std::move(report), now);
}

auto replica_table::set_zone_load(
    zone_name const& zone, load_report report, time_point now) -> void
{
    replace_load(zones_[zone], std::move(report), now);
}

auto replica_table::load_of_own_zone() const -> load_report
{
    auto sum = own_;
    for (auto const& [peer, count] : peers_)
    {
        for (auto const& [id, load] : count.report)
        {
            add_load(sum[id], load);
        }
    }
    return sum;
}

auto replica_table::set_reported_load(
    endpoint_id const& id, reported_load load, time_point now) -> void
{
    if (replicas_.contains(id))
    {
        reported_loads_[id] = {load, now};
    }
}

auto replica_table::record_service_time(service_name const& of, duration took)
    -> void
{
    service_times_[of].add_sample(took);
}

auto replica_table::load_of(endpoint_id const& id) const -> replica_load
{
    auto sum = load_in(own_, id);
    add_load(sum, load_in(peer_total_, id));
    return sum;
}

auto replica_table::movable_ahead(
    endpoint_id const& id, daemon_id const& self) const -> double
{
    auto tokens = 0.0;
    for (auto const& [peer, count] : peers_)
    {
        if (peer < self)
        {
            tokens += load_in(count.report, id).movable_tokens;
        }
    }
    // Daemons of other zones are not told apart; a zone takes its turn by name.
    for (auto const& [zone, count] : zones_)
    {
        if (zone < zone_)
        {
            tokens += load_in(count.report, id).movable_tokens;
        }
    }
    return tokens;
}

auto replica_table::mean_memory_share(
    service_name const& service, engine_traits const& engine) const -> double
{
    auto used = 0.0;
    auto whole = 0.0;
    for (auto const& [id, each] : replicas_)
    {
        if (is_eligible(each, service, *this))
        {
            used += load_of(id).memory_tokens;
            whole += engine.memory_tokens;
        }
    }
    return whole > 0 ? used / whole : 0;
}

auto replica_table::mean_service_time(service_name const& of) const
    -> std::optional<duration>
{
    auto const measured = service_times_.find(of);
    return measured == service_times_.end() ? std::nullopt
                                            : measured->second.mean();
}

auto replica_table::load_spreads() const -> std::map<service_name, double>
{
    auto memory = std::map<service_name, std::vector<double>>{};
    auto requests = std::map<service_name, std::vector<double>>{};
    for (auto const& [id, each] : replicas_)
    {
        if (is_eligible(each, *this))
        {
            auto const load = load_of(id);
            memory[each.service].push_back(load.memory_tokens);
            requests[each.service].push_back(load.requests);
        }
    }
    auto spreads = std::map<service_name, double>{};
    for (auto const& [service, counts] : requests)
    {
        auto const by_memory = busiest_over_mean(memory[service]);
        auto const spread =
            by_memory > 0 ? by_memory : busiest_over_mean(counts);
        if (spread > 0)
        {
            spreads.emplace(service, spread);
        }
    }
    return spreads;
}

} // namespace sapphirereel::relay
