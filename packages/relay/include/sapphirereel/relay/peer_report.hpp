/// \file
/// Defines the report that daemons send each other in datagrams, and its
/// encoding.
#ifndef SAPPHIREREEL_RELAY_PEER_REPORT_HPP
#define SAPPHIREREEL_RELAY_PEER_REPORT_HPP

#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/relay/cold_entry.hpp"
#include "sapphirereel/relay/crash_tracker.hpp"
#include "sapphirereel/relay/log_freshness.hpp"
#include "sapphirereel/relay/log_position.hpp"
#include "sapphirereel/relay/pace_entry.hpp"
#include "sapphirereel/relay/poison_part_tracker.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/stated_limits.hpp"
#include "sapphirereel/relay/waiting_entry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// One start of a replica that accepts no more work.
struct leaving_replica
{
    endpoint_id id;
    /// Position of the log record that says so, or of the replica's newest
    /// record if the replica itself said so.
    log_position position;
    /// Start time of the replica, Unix time in milliseconds; 0 if unknown.
    std::uint64_t started_at_ms = 0;
    /// Number of the replica's newest renewal that was seen; 0 if unknown.
    std::uint64_t renewal = 0;
    /// Whether the replica said that it leaves, which holds for as long as it
    /// runs. Otherwise its record vanished, and a later record revokes that.
    bool announced = false;
    auto operator<=>(leaving_replica const&) const = default;
};

/// Versions of the report's encoding: the one that daemons send each other; the
/// one before it, which does not tell the age of copies; and earlier ones
/// without cold replicas, paces and waiting requests, without limits of
/// replicas and lost services, without prompt parts, and without eras and zones
/// of addresses.
inline constexpr auto report_version = std::uint32_t{7};
inline constexpr auto previous_report_version = std::uint32_t{6};
inline constexpr auto coldless_report_version = std::uint32_t{5};
inline constexpr auto limitless_report_version = std::uint32_t{4};
inline constexpr auto partless_report_version = std::uint32_t{3};
inline constexpr auto oldest_report_version = std::uint32_t{2};

/// An address at which a daemon may run, and its zone if that is known.
struct known_address
{
    std::string ip;
    zone_name zone;
    auto operator<=>(known_address const&) const = default;
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
    /// Positions behind the last changes in its copies of the two log streams.
    log_position configuration_next;
    log_position replicas_next;
    /// Age of these copies.
    copy_age age;
    /// How much longer replicas' records may be missing from the log because it
    /// was lost or restored, as seen by a daemon that reads it.
    duration lapse_grace{0};
    std::vector<leaving_replica> leaving;
    load_report load;
    /// Replica crashes that it observed, and requests cleared of causing them.
    crash_reports crashes;
    /// Replica crashes and rulings by prompt part.
    part_reports parts;
    /// What replicas state about the requests that they take.
    std::vector<limit_entry> limits;
    /// Services whose replicas the daemon does not reach.
    std::vector<service_name> lost_services;
    /// Replicas that it found to be cold.
    std::vector<cold_entry> cold;
    /// Usual paces of replicas that it knows.
    std::vector<pace_entry> paces;
    /// Requests that wait at it for a replica with room.
    std::vector<waiting_entry> waiting;
    /// Addresses of other daemons that it knows.
    std::vector<known_address> known_addresses;
    /// Whether it asks for a report in return.
    bool wants_reply = false;
    /// Load that all daemons of its zone have placed; only in answers to
    /// daemons of other zones.
    std::optional<load_report> zone_load;
    /// Version of the encoding in which it arrived.
    std::uint32_t version = report_version;
    auto operator<=>(peer_report const&) const = default;
};

/// Encodes a report in `report.version`.
auto write_peer_report(peer_report const& report) -> std::string;

/// None if the bytes are not a valid report.
auto read_peer_report(std::string_view bytes) -> std::optional<peer_report>;

} // namespace sapphirereel::relay

#endif
