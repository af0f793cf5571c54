#include "sapphirereel/daemon/settings_table.hpp"

#include <array>

namespace sapphirereel::daemon {
namespace {

template <class Tag>
auto assign(identifier<Tag>& field, setting_value const& value) -> void
{
    field = identifier<Tag>{std::get<std::string>(value)};
}

template <class T>
auto assign(T& field, setting_value const& value) -> void
{
    field = std::get<T>(value);
}

/// Stores a value into one field of one section.
template <auto Section, auto Field>
auto put(settings& target, setting_value const& value) -> void
{
    assign(target.*Section.*Field, value);
}

using enum setting_kind;

constexpr auto required = std::string_view{};

constexpr auto keys = std::array{
    setting_key{
        "daemon", "name", name, required, false, "", "",
        "Name of this VM, as in the platform's VM list.",
        put<&settings::identity, &identity_settings::name>},
    setting_key{
        "daemon", "zone", name, required, false, "", "",
        "Availability zone of this VM.",
        put<&settings::identity, &identity_settings::zone>},
    setting_key{
        "daemon", "region", name, required, false, "", "",
        "Region that holds the availability zone.",
        put<&settings::identity, &identity_settings::region>},
    setting_key{
        "daemon", "caller_address", address, required, false, "", "",
        "Where callers and operators connect.",
        put<&settings::identity, &identity_settings::caller_address>},
    setting_key{
        "daemon", "peer_address", address, required, false, "", "",
        "Where other daemons connect.",
        put<&settings::identity, &identity_settings::peer_address>},
    setting_key{
        "daemon", "advertised_address", address, required, true, "", "",
        "Address handed to callers, if it differs from `caller_address`.",
        put<&settings::identity, &identity_settings::advertised_address>},
    setting_key{
        "daemon", "secret", key, required, false, "", "",
        "Key that signs resume ids; the same for every daemon.",
        put<&settings::identity, &identity_settings::secret>},

    setting_key{
        "platform", "log_address", address, required, false, "", "",
        "The log service.",
        put<&settings::platform, &platform_settings::log_address>},
    setting_key{
        "platform", "vm_list_address", address, required, false, "", "",
        "The list of VMs.",
        put<&settings::platform, &platform_settings::vm_list_address>},
    setting_key{
        "platform", "weight_store_address", address, required, false, "", "",
        "The weight store; read once orders to endpoints are served.",
        put<&settings::platform, &platform_settings::weight_store_address>},
    setting_key{
        "platform", "connect_timeout", time, "1s", false, "10ms", "30s",
        "Longest wait for a connection to the platform.",
        put<&settings::platform, &platform_settings::connect_timeout>},
    setting_key{
        "platform", "request_timeout", time, "5s", false, "100ms", "1min",
        "Longest wait for an answer of the platform.",
        put<&settings::platform, &platform_settings::request_timeout>},
    setting_key{
        "platform", "log_poll_wait", time, "1s", false, "10ms", "30s",
        "How long one read of the log waits for new records.",
        put<&settings::platform, &platform_settings::log_poll_wait>},
    setting_key{
        "platform", "log_retention", time, "24h", false, "1min", "8760h",
        "How long the log service keeps a record.",
        put<&settings::platform, &platform_settings::log_retention>},
    setting_key{
        "platform", "vm_list_interval", time, "2s", false, "100ms", "5min",
        "Time between two reads of the VM list.",
        put<&settings::platform, &platform_settings::vm_list_interval>},

    setting_key{
        "callers", "max_connections", count, "1024", false, "1", "100000",
        "Most connections served at once; each has a thread.",
        put<&settings::callers, &caller_settings::max_connections>},
    setting_key{
        "callers", "max_queued_connections", count, "64", false, "0", "100000",
        "Most accepted connections that wait for a thread.",
        put<&settings::callers, &caller_settings::max_queued_connections>},
    setting_key{
        "callers", "max_body_bytes", bytes, "4MiB", false, "1KiB", "1GiB",
        "Largest request body.",
        put<&settings::callers, &caller_settings::max_body_bytes>},
    setting_key{
        "callers", "max_bodies_bytes", bytes, "64MiB", false, "2KiB", "64GiB",
        "Most bytes of all request bodies together; those over 64 KiB may use "
        "three quarters of it. At least twice `max_body_bytes`.",
        put<&settings::callers, &caller_settings::max_bodies_bytes>},
    setting_key{
        "callers", "keep_alive_requests", count, "100", false, "1", "1000000",
        "Most requests on one connection.",
        put<&settings::callers, &caller_settings::keep_alive_requests>},
    setting_key{
        "callers", "keep_alive_timeout", time, "2s", false, "1s", "5min",
        "How long an idle connection holds its thread.",
        put<&settings::callers, &caller_settings::keep_alive_timeout>},
    setting_key{
        "callers", "read_timeout", time, "10s", false, "100ms", "10min",
        "Longest wait for the next bytes of a request.",
        put<&settings::callers, &caller_settings::read_timeout>},
    setting_key{
        "callers", "write_timeout", time, "10s", false, "100ms", "10min",
        "Longest time that a caller may accept no bytes of its answer.",
        put<&settings::callers, &caller_settings::write_timeout>},
    setting_key{
        "callers", "heartbeat_interval", time, "2s", false, "100ms", "1min",
        "Time between two comments on a stream without tokens.",
        put<&settings::callers, &caller_settings::heartbeat_interval>},
    setting_key{
        "callers", "address_validity", time, "5s", false, "100ms", "1h",
        "How long callers may keep an answer of `GET /addresses`.",
        put<&settings::callers, &caller_settings::address_validity>},
    setting_key{
        "callers", "addresses_per_answer", count, "3", false, "1", "16",
        "Addresses in one answer of `GET /addresses`.",
        put<&settings::callers, &caller_settings::addresses_per_answer>},

    setting_key{
        "endpoints", "connect_timeout", time, "1s", false, "10ms", "30s",
        "Longest wait for a connection to an endpoint.",
        put<&settings::endpoints, &endpoint_settings::connect_timeout>},
    setting_key{
        "endpoints", "silence_timeout", time, "5s", false, "100ms", "10min",
        "A stream without bytes for this long is attached to anew.",
        put<&settings::endpoints, &endpoint_settings::silence_timeout>},
    setting_key{
        "endpoints", "call_timeout", time, "30s", false, "100ms", "1h",
        "Longest wait for the answer of a plain service.",
        put<&settings::endpoints, &endpoint_settings::call_timeout>},
    setting_key{
        "endpoints", "load_interval", time, "500ms", false, "50ms", "1min",
        "Time between two reads of an engine's load by its home daemon.",
        put<&settings::endpoints, &endpoint_settings::load_interval>},

    setting_key{
        "placement", "probes", count, "2", false, "1", "16",
        "Replicas whose home daemons are asked for each generation.",
        put<&settings::placement, &placement_settings::probes>},
    setting_key{
        "placement", "margin", ratio, "2.0", false, "0", "10",
        "Standard deviations of forecast memory that are kept free.",
        put<&settings::placement, &placement_settings::margin>},

    setting_key{
        "limits", "retry_budget_ratio", ratio, "0.1", false, "0", "1",
        "Retries allowed for each first attempt, on average.",
        put<&settings::limits, &limit_settings::retry_budget_ratio>},
    setting_key{
        "limits", "claim_window", time, "12h", false, "1min", "8760h",
        "Oldest request name that is accepted for a non-idempotent call; "
        "shorter than `log_retention`.",
        put<&settings::limits, &limit_settings::claim_window>},
    setting_key{
        "limits", "default_deadline", time, "30s", false, "100ms", "24h",
        "Longest wait for the start of a request that names no deadline.",
        put<&settings::limits, &limit_settings::default_deadline>},
    setting_key{
        "limits", "max_waiting_requests", count, "512", false, "0", "100000",
        "Most requests that wait for a place on one replica.",
        put<&settings::limits, &limit_settings::max_waiting_requests>},
    setting_key{
        "limits", "customer_max_waiting", count, "64", false, "0", "100000",
        "Most of them of one customer.",
        put<&settings::limits, &limit_settings::customer_max_waiting>},
    setting_key{
        "limits", "lethal_endpoint_limit", count, "3", false, "2", "16",
        "Endpoints that a request may crash before it is refused for good.",
        put<&settings::limits, &limit_settings::lethal_endpoint_limit>},

    setting_key{
        "membership", "probe_interval", time, "1s", false, "50ms", "1min",
        "Time between two probes of a peer.",
        put<&settings::membership, &membership_settings::probe_interval>},
    setting_key{
        "membership", "probe_timeout", time, "300ms", false, "10ms", "1min",
        "Wait for a probe's answer before others are asked to probe.",
        put<&settings::membership, &membership_settings::probe_timeout>},
    setting_key{
        "membership", "suspicion_timeout", time, "3s", false, "100ms", "10min",
        "How long a suspected daemon has to refute before it counts as dead.",
        put<&settings::membership, &membership_settings::suspicion_timeout>},

    setting_key{
        "stop", "handover_deadline", time, "30s", false, "1s", "1h",
        "Time of a planned stop after which streams are handed over.",
        put<&settings::stop, &stop_settings::handover_deadline>},

    setting_key{
        "log", "level", level, "info", false, "", "",
        "Least level that is written.",
        put<&settings::log, &log_settings::level>},
    setting_key{
        "log", "repeat_interval", time, "10s", false, "100ms", "1h",
        "A repeated fault is written once in this time, with its count.",
        put<&settings::log, &log_settings::repeat_interval>},
};

} // namespace

auto setting_keys() -> std::span<setting_key const>
{
    return keys;
}

} // namespace sapphirereel::daemon
