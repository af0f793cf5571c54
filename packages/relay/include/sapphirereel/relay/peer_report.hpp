/// \file
/// Defines what daemons tell each other in datagrams, and its bytes.
#ifndef SAPPHIREREEL_RELAY_PEER_REPORT_HPP
#define SAPPHIREREEL_RELAY_PEER_REPORT_HPP

#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/relay/crash_tracker.hpp"
#include "sapphirereel/relay/replica_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// A replica that takes no more work, by a record of the platform's log.
struct leaving_replica
{
    endpoint_id id;
    std::uint64_t offset = 0;
    auto operator<=>(leaving_replica const&) const = default;
};

/// A daemon's word of itself.
struct peer_report
{
    /// Address at which it is reached by the other daemons.
    std::string ip;
    /// Differs for each start of the process.
    std::uint64_t incarnation = 0;
    /// Rises with each report of one incarnation.
    std::uint64_t sequence = 0;
    /// Address for callers, and the zone it lies in.
    std::string caller_address;
    zone_name zone;
    /// Whether callers should be sent to it.
    bool accepts_callers = false;
    /// Whether the platform's log answers it.
    bool is_log_reachable = false;
    /// How far its copies of the platform's log reach.
    std::uint64_t configuration_next = 0;
    std::uint64_t replicas_next = 0;
    std::vector<leaving_replica> leaving;
    load_report load;
    /// Crashes that it saw, and what they were not due to.
    crash_reports crashes;
    /// Addresses of daemons that it has heard of.
    std::vector<std::string> known_addresses;
    auto operator<=>(peer_report const&) const = default;
};

auto write_peer_report(peer_report const& report) -> std::string;

/// Nothing if the bytes are no report.
auto read_peer_report(std::string_view bytes) -> std::optional<peer_report>;

} // namespace sapphirereel::relay

#endif
