#include "sapphirereel/daemon/core_settings_from.hpp"

#include <algorithm>

namespace sapphirereel::daemon {

namespace {

auto self_from(settings const& from, daemon_id const& id) -> member
{
    auto self = member{};
    self.id = id;
    self.caller_address = from.identity.advertised_address;
    self.peer_address = from.identity.peer_address;
    self.zone = from.identity.zone;
    self.region = from.identity.region;
    return self;
}

auto placement_from(settings const& from) -> sapphirereel::placement_settings
{
    auto made = sapphirereel::placement_settings{};
    made.asked_at_once = static_cast<std::uint32_t>(from.placement.probes);
    made.asked_in_all = std::max(made.asked_in_all, made.asked_at_once);
    return made;
}

auto once_from(settings const& from) -> at_most_once_settings
{
    auto made = at_most_once_settings{};
    made.retention = from.platform.log_retention;
    made.name_lifetime = from.limits.claim_window;
    return made;
}

auto members_from(settings const& from) -> sapphirereel::membership_settings
{
    auto made = sapphirereel::membership_settings{};
    made.probe_period = from.membership.probe_interval;
    made.probe_timeout = from.membership.probe_timeout;
    made.suspicion_time = from.membership.suspicion_timeout;
    made.peer_port = from.identity.peer_address.port;
    return made;
}

} // namespace

auto core_settings_from(
    settings const& from, daemon_id const& id, std::uint64_t seed)
    -> core_settings
{
    auto made = core_settings{};
    made.seed = seed;
    made.self = self_from(from, id);
    made.generations.placement = placement_from(from);
    made.generations.seed = seed;
    made.calls.once = once_from(from);
    made.homes.ledger.margin_deviations = from.placement.margin;
    made.homes.ledger.most_waiting =
        static_cast<std::uint32_t>(from.limits.max_waiting_requests);
    made.homes.ledger.most_waiting_of_customer =
        static_cast<std::uint32_t>(from.limits.customer_max_waiting);
    made.calls.retries.ratio = from.limits.retry_budget_ratio;
    made.lethal.deaths =
        static_cast<std::uint32_t>(from.limits.lethal_endpoint_limit);
    made.homes.load_interval = from.endpoints.load_interval;
    made.configuration.retention = from.platform.log_retention;
    made.members = members_from(from);
    made.addresses.validity = from.callers.address_validity;
    made.addresses.addresses =
        static_cast<std::size_t>(from.callers.addresses_per_answer);
    made.stop.address_validity = from.callers.address_validity;
    made.stop.finish_time = from.stop.handover_deadline;
    return made;
}

} // namespace sapphirereel::daemon
