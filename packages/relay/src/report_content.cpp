#include "sapphirereel/relay/report_content.hpp"

#include <utility>

namespace sapphirereel::relay {

report_content::report_content(
    relay_state& state,
    peer_gossip& peers,
    zone_name own_zone,
    std::function<void()> crashes_found)
    : state_(&state)
    , peers_(&peers)
    , zone_(std::move(own_zone))
    , crashes_found_(std::move(crashes_found))
{}

auto report_content::fill(peer_report& report, time_point now) const -> void
{
    report.load = state_->replicas.own_load();
    report.crashes = state_->crashes.entries_to_report();
    report.parts = state_->parts.entries_to_report();
    report.limits = state_->gate.limits().entries_to_report(now);
    report.cold = state_->gate.cold().entries_to_report(now);
    report.lost_services = state_->paths.lost_services(now);
    report.waiting = waiting_streams();
    report.paces = state_->replicas.pace().figures().entries_to_report(now);
}

auto report_content::waiting_streams() const -> std::vector<waiting_entry>
{
    auto const& table = state_->table;
    return state_->held.entries_to_report([&](service_name const& service) {
        return table && table->has_tiered_targets(service);
    });
}

auto report_content::apply(peer_report const& report, time_point now) -> void
{
    auto& state = *state_;
    apply_load(report, now);
    state.crashes.apply_report(report.crashes, now);
    apply_parts(report.parts, now);
    pass_on(state.gate.limits().apply_report(report.limits, now));
    if (report.zone == zone_)
    {
        state.held.set_peer_entries(daemon_id{report.ip}, report.waiting, now);
    }
    pass_on(state.gate.cold().apply_report(
        report.cold, state.replicas.replicas(), now));
    state.replicas.pace().figures().apply_report(
        report.paces, state.replicas.replicas(), now);
}

auto report_content::apply_load(peer_report const& report, time_point now)
    -> void
{
    if (!peers_->is_zoned() || report.zone == zone_)
    {
        state_->replicas.set_peer_load(daemon_id{report.ip}, report.load, now);
    }
    else if (report.zone_load)
    {
        state_->replicas.set_zone_load(report.zone, *report.zone_load, now);
    }
}

auto report_content::apply_parts(part_reports const& reports, time_point now)
    -> void
{
    auto const change =
        state_->parts.apply_report(reports, peers_->is_zoned(), now);
    if (change == part_news::ruling)
    {
        state_->metrics.add(relay_counter::part_rulings);
        crashes_found_();
    }
    pass_on(change != part_news::none);
}

auto report_content::pass_on(bool is_changed) -> void
{
    if (is_changed && peers_->is_zoned())
    {
        peers_->schedule_report(report_scope::all);
    }
}

auto report_content::update_parts(time_point now) -> void
{
    auto const found = state_->parts.update(now);
    for (auto const& part : found)
    {
        state_->metrics.add(relay_counter::part_rulings);
        state_->log.warning(
            "crashes", "a prompt part was found to crash replicas",
            {{"part", part}});
    }
    if (!found.empty())
    {
        crashes_found_();
        peers_->schedule_report(report_scope::all);
    }
}

} // namespace sapphirereel::relay
