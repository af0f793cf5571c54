/// \file
/// Defines the typed settings of a daemon and how they are loaded from an INI
/// file. The keys, their defaults and ranges are in settings_table.hpp.
#ifndef SAPPHIREREEL_DAEMON_SETTINGS_HPP
#define SAPPHIREREEL_DAEMON_SETTINGS_HPP

#include "sapphirereel/codec/signing_key.hpp"
#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/configuration.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/telemetry/log_level.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace sapphirereel::daemon {

using telemetry::log_level;

/// Section `[daemon]`: who this daemon is and where it listens.
struct identity_settings
{
    std::string name;
    zone_name zone;
    region_name region;
    socket_address caller_address;
    socket_address peer_address;
    /// The address handed to callers; equals `caller_address` unless set.
    socket_address advertised_address;
    codec::signing_key secret;
    auto operator<=>(identity_settings const&) const = default;
};

/// Section `[platform]`: the services of the platform and their timeouts.
struct platform_settings
{
    socket_address log_address;
    socket_address vm_list_address;
    socket_address weight_store_address;
    duration connect_timeout{};
    duration request_timeout{};
    duration log_poll_wait{};
    duration log_retention{};
    duration vm_list_interval{};
    auto operator<=>(platform_settings const&) const = default;
};

/// Section `[callers]`: the server towards callers and operators.
struct caller_settings
{
    std::int64_t max_connections = 0;
    std::int64_t max_queued_connections = 0;
    std::int64_t max_body_bytes = 0;
    std::int64_t max_bodies_bytes = 0;
    std::int64_t keep_alive_requests = 0;
    duration keep_alive_timeout{};
    duration read_timeout{};
    duration write_timeout{};
    duration heartbeat_interval{};
    duration address_validity{};
    std::int64_t addresses_per_answer = 0;
    auto operator<=>(caller_settings const&) const = default;
};

/// Section `[endpoints]`: connections to engines and plain services.
struct endpoint_settings
{
    duration connect_timeout{};
    duration silence_timeout{};
    duration call_timeout{};
    duration load_interval{};
    auto operator<=>(endpoint_settings const&) const = default;
};

/// Section `[placement]`: where generations are placed.
struct placement_settings
{
    std::int64_t probes = 0;
    /// Standard deviations of predicted memory kept free.
    double margin = 0;
    auto operator<=>(placement_settings const&) const = default;
};

/// Section `[limits]`: retries, claims, customers.
struct limit_settings
{
    double retry_budget_ratio = 0;
    duration claim_window{};
    duration default_deadline{};
    std::int64_t max_waiting_requests = 0;
    std::int64_t customer_max_waiting = 0;
    std::int64_t lethal_endpoint_limit = 0;
    auto operator<=>(limit_settings const&) const = default;
};

/// Section `[membership]`: how daemons watch each other.
struct membership_settings
{
    duration probe_interval{};
    duration probe_timeout{};
    duration suspicion_timeout{};
    auto operator<=>(membership_settings const&) const = default;
};

/// Section `[stop]`: planned stops.
struct stop_settings
{
    duration handover_deadline{};
    auto operator<=>(stop_settings const&) const = default;
};

/// Section `[log]`: the daemon's own log on standard error.
struct log_settings
{
    log_level level = log_level::info;
    duration repeat_interval{};
    auto operator<=>(log_settings const&) const = default;
};

/// All settings of one daemon.
/// Example: `auto const loaded = settings::load("/etc/sapphirereel.ini");`
struct settings
{
    identity_settings identity;
    platform_settings platform;
    caller_settings callers;
    endpoint_settings endpoints;
    placement_settings placement;
    limit_settings limits;
    membership_settings membership;
    stop_settings stop;
    log_settings log;

    /// Reads a file; every error in it is a finding with file and line.
    static auto load(std::string const& path) -> result<settings>;

    /// Reads settings from text; `source` names it in findings.
    static auto parse(std::string_view text, std::string const& source)
        -> result<settings>;

    auto operator<=>(settings const&) const = default;
};

} // namespace sapphirereel::daemon

#endif
