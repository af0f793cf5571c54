/// \file
/// Defines the report that daemons send each other in datagrams, and its
/// encoding.
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

/// A replica that accepts no more work, and the offset of the log record that
/// says so.
struct leaving_replica
{
    endpoint_id id;
    std::uint64_t offset = 0;
    auto operator<=>(leaving_replica const&) const = default;
};

/// State that a daemon reports about itself.
struct peer_report
{
    /// Address at which other daemons reach it.
    std::string ip;
    /// Distinguishes the starts of the process.
    std::uint64_t incarnation = 0;
    /// Increases with each report of one incarnation.
    std::uint64_t sequence = 0;
    /// Address for callers, and its zone.
    std::string caller_address;
    zone_name zone;
    /// Whether callers should be sent to it.
    bool accepts_callers = false;
    /// Whether it reaches the platform's log.
    bool is_log_reachable = false;
    /// Offsets up to which its copies of the two log streams are current.
    std::uint64_t configuration_next = 0;
    std::uint64_t replicas_next = 0;
    std::vector<leaving_replica> leaving;
    load_report load;
    /// Replica crashes that it observed, and requests cleared of causing them.
    crash_reports crashes;
    /// Addresses of other daemons that it knows.
    std::vector<std::string> known_addresses;
    auto operator<=>(peer_report const&) const = default;
};

auto write_peer_report(peer_report const& report) -> std::string;

/// None if the bytes are not a valid report.
auto read_peer_report(std::string_view bytes) -> std::optional<peer_report>;

} // namespace sapphirereel::relay

#endif
