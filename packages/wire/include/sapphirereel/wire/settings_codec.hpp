/// \file
/// Defines the JSON encoding of the core's settings for the first line of a
/// trace.
/// Not encoded, so that a replay uses their defaults:
/// ledger_settings::reserve_share, membership_settings::sync_period and
/// membership_settings::settle_time.
#ifndef SAPPHIREREEL_WIRE_SETTINGS_CODEC_HPP
#define SAPPHIREREEL_WIRE_SETTINGS_CODEC_HPP

#include "sapphirereel/composition/daemon_core.hpp"
#include "sapphirereel/wire/event_codec.hpp"

namespace sapphirereel {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    generation_settings,
    attach_attempts,
    silent_attach,
    attach_backoff,
    crash_backoff,
    place_backoff,
    recovery_limit,
    lost_engines)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    candidate_weights, same_region, other_region, cached_prompt, not_loaded)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    placement_settings, asked_at_once, asked_in_all, reply_timeout, weights)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(slow_start_settings, window, least_share)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    outlier_settings,
    failures,
    first_ejection,
    longest_ejection,
    forgotten_after,
    most_ejected_divisor,
    slow_start)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    generation_coordinator_settings,
    generation,
    placement,
    outliers,
    progress_interval,
    tokens_past_crash,
    seed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    at_most_once_settings,
    retention,
    name_lifetime,
    clock_skew,
    dispatch_window,
    log_timeout,
    call_wait,
    keep_wait,
    query_interval,
    append_backoff,
    append_retry,
    done_delay,
    retry_after,
    batch_entries,
    kept_bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    retry_budget_settings, ratio, free_per_second, most)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    poison_request_settings, deaths, isolation_deaths, memory, most_deaths)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    call_coordinator_settings, once, retries, attempts, retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    ledger_settings,
    margin_deviations,
    usable_share,
    assumed_capacity,
    assumed_rate,
    prefill_rate,
    prefill_wait,
    most_streams,
    stream_expiry,
    reservation_expiry,
    most_waiting,
    most_waiting_of_customer,
    forecast_lifetime,
    retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(length_settings, half_life, pooling_weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    home_settings, ledger, lengths, load_interval)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    configuration_sync_settings,
    retention,
    edit_wait,
    query_interval,
    snapshot_interval)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    membership_settings,
    probe_period,
    probe_timeout,
    indirect_probes,
    suspicion_time,
    lone_opinion_time,
    pause_limit,
    rejoin_period,
    dead_retention,
    news_bytes,
    peer_port)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    address_answer_settings, validity, addresses, other_zones)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    planned_stop_settings, address_validity, notice_lag, finish_time)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    core_settings,
    self,
    generations,
    calls,
    homes,
    lethal,
    configuration,
    members,
    addresses,
    stop,
    notice_time,
    seed)

} // namespace sapphirereel

#endif
