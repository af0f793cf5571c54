#include "sapphirereel/daemon/settings_conflicts.hpp"

namespace sapphirereel::daemon::internal {
namespace {

struct rule
{
    std::string_view field;
    std::string_view other_field;
    auto(*holds)(settings const&) -> bool;
    std::string_view message;
    std::string_view mend;
};

auto addresses_differ(settings const& s) -> bool
{
    auto const& identity = s.identity;
    return identity.caller_address.port == 0 ||
           identity.caller_address != identity.peer_address;
}

constexpr rule rules[] = {
    {"daemon.peer_address", "daemon.caller_address", addresses_differ,
     "peer_address is the same as caller_address", "give each its own port"},
    {"limits.claim_window", "platform.log_retention",
     [](settings const& s) {
         return s.limits.claim_window < s.platform.log_retention;
     },
     "claim_window is not shorter than platform.log_retention, so a claim "
     "could be gone while its request name is still accepted",
     "make claim_window shorter, or log_retention longer"},
    {"membership.probe_timeout", "membership.probe_interval",
     [](settings const& s) {
         return s.membership.probe_timeout < s.membership.probe_interval;
     },
     "probe_timeout is not shorter than probe_interval",
     "make probe_timeout shorter"},
    {"membership.suspicion_timeout", "membership.probe_interval",
     [](settings const& s) {
         return s.membership.probe_interval <= s.membership.suspicion_timeout;
     },
     "suspicion_timeout is shorter than probe_interval",
     "make suspicion_timeout longer"},
    {"stop.handover_deadline", "callers.address_validity",
     [](settings const& s) {
         return s.callers.address_validity < s.stop.handover_deadline;
     },
     "handover_deadline is not longer than callers.address_validity, so a stop "
     "would end while callers still use this address",
     "make handover_deadline longer"},
    {"limits.customer_max_waiting", "limits.max_waiting_requests",
     [](settings const& s) {
         return s.limits.customer_max_waiting <= s.limits.max_waiting_requests;
     },
     "customer_max_waiting is larger than max_waiting_requests",
     "make customer_max_waiting smaller"},
    {"callers.max_bodies_bytes", "callers.max_body_bytes",
     [](settings const& s) {
         return s.callers.max_body_bytes <= s.callers.max_bodies_bytes / 2;
     },
     "max_bodies_bytes is less than twice max_body_bytes, so the largest body "
     "could never be read",
     "make max_bodies_bytes larger, or max_body_bytes smaller"},
    {"callers.heartbeat_interval", "callers.write_timeout",
     [](settings const& s) {
         return s.callers.heartbeat_interval < s.callers.write_timeout;
     },
     "heartbeat_interval is not shorter than write_timeout",
     "make heartbeat_interval shorter"},
};

} // namespace

auto settings_conflicts(settings const& values)
    -> std::vector<settings_conflict>
{
    auto conflicts = std::vector<settings_conflict>{};
    for (auto const& rule : rules)
    {
        if (!rule.holds(values))
        {
            conflicts.push_back(
                {rule.field, rule.other_field, std::string{rule.message},
                 std::string{rule.mend}});
        }
    }
    return conflicts;
}

} // namespace sapphirereel::daemon::internal
