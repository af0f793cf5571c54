/// \file
/// Defines the table of replicas, the load on them by this daemon's and its
/// peers' counts, and the choice of a replica for a request.
#ifndef SAPPHIREREEL_RELAY_REPLICA_TABLE_HPP
#define SAPPHIREREEL_RELAY_REPLICA_TABLE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/relay/load_estimate.hpp"
#include "sapphirereel/relay/pace_policy.hpp"
#include "sapphirereel/relay/routing.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sapphirereel::relay {

/// A replica as the platform lists it.
struct replica
{
    endpoint_id id;
    service_name service;
    std::string ip;
    std::uint16_t port = 0;
    zone_name zone;
    /// Most requests that it runs at once.
    std::uint32_t slots = 1;
    /// Whether it accepts no new work because it is being drained.
    bool leaving = false;
    /// Unix time of its start in milliseconds; distinguishes replicas that are
    /// started one after the other under the same id.
    std::uint64_t started_at_ms = 0;
    /// Number of the last renewal of its record, counted from its start.
    std::uint64_t renewal = 0;
    /// Time from the writing of its record until it is warm; 0 if it is warm or
    /// the record does not say.
    duration cold_remaining{0};
    /// Whether the record states that time in a form that can't be read.
    bool has_invalid_cold = false;
    auto operator<=>(replica const&) const = default;
};

/// Load on one replica that one daemon has placed there.
struct replica_load
{
    /// Calls and streams in progress.
    std::uint32_t requests = 0;
    /// Memory that streams hold or are expected to need, in tokens.
    double memory_tokens = 0;
    /// Prompt tokens of streams whose first event has not arrived.
    double pending_prefill_tokens = 0;
    /// Memory in tokens of the streams that would have to be migrated if the
    /// replica left: those without a backup on another replica.
    double movable_tokens = 0;
    auto operator<=>(replica_load const&) const = default;
};

/// Load on all replicas that one daemon has placed there.
using load_report = std::map<endpoint_id, replica_load>;

/// Load that a replica reports about itself in an answer.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes on the replica's machine at this moment, in percent
    /// of the usual time, if it states that. Not checked.
    std::optional<double> pace = std::nullopt;
    auto operator<=>(reported_load const&) const = default;
};

/// Requirements of a request on its replica.
struct placement_need
{
    service_name service;
    /// Expected KV cache memory in tokens, prompt included; 0 for requests that
    /// are not streams.
    double memory_tokens = 0;
    /// Prompt tokens to process before the first event.
    double prompt_tokens = 0;
    /// Replicas that must not be chosen.
    std::set<endpoint_id> excluded;
    /// Zone of the replica that holds the run's memory, for a migration or a
    /// backup.
    std::optional<zone_name> memory_zone = std::nullopt;
    /// Longest pause between two events that the stream should have; none
    /// unless it is long enough to need pace.
    std::optional<duration> target_pause = std::nullopt;
};

/// The chosen replica, and the figures behind the choice for the log.
struct placement
{
    replica target;
    /// Load of the target as a share of its capacity, plus penalties; lower is
    /// better.
    double score = 0;
    /// Share of the target's memory in use by the counts of all daemons, this
    /// request included; 0 if `choose` was given no engine traits.
    double memory_share = 0;
    /// Prompt tokens queued on the target by the counts of all daemons.
    double pending_prefill_tokens = 0;
    /// Number of replicas that were compared.
    std::size_t candidates = 0;
    /// Requests that other daemons are expected to have placed on these since
    /// their counts; 0 if the lowest score was taken.
    double unseen_requests = 0;
};

/// The replicas and the load on them.
class replica_table
{
public:
    replica_table(zone_name zone, std::uint64_t seed);

    /// Replaces the list. Returns the replicas that are newly marked as leaving
    /// or are no longer listed.
    auto set_replicas(std::vector<replica> const& listed)
        -> std::vector<replica>;

    [[nodiscard]] auto find(endpoint_id const& id) const -> replica const*;

    [[nodiscard]] auto replicas() const -> std::map<endpoint_id, replica> const&
    {
        return replicas_;
    }

    /// Replaces the zones whose replicas are sent nothing new.
    auto set_evacuated(std::set<zone_name> zones) -> void;

    [[nodiscard]] auto evacuated() const -> std::set<zone_name> const&
    {
        return evacuated_;
    }

    /// Whether a replica is in an evacuated zone.
    [[nodiscard]] auto is_evacuated(replica const& which) const -> bool;

    /// Whether a service has replicas that are not leaving, all of them in
    /// evacuated zones.
    [[nodiscard]] auto has_only_evacuated(service_name const& of) const -> bool;

    /// Adds to or subtracts from this daemon's own count.
    auto add(endpoint_id const& id, replica_load const& load) -> void;
    auto remove(endpoint_id const& id, replica_load const& load) -> void;

    /// Replaces a peer's count.
    auto set_peer_load(
        daemon_id const& peer, load_report report, time_point now) -> void;

    /// Replaces the count of all daemons of another zone together.
    auto set_zone_load(
        zone_name const& zone, load_report report, time_point now) -> void;

    /// Load that this daemon and the peers of its zone have placed.
    [[nodiscard]] auto load_of_own_zone() const -> load_report;

    /// Records the load that a replica reports about itself.
    auto set_reported_load(
        endpoint_id const& id, reported_load load, time_point now) -> void;

    /// Records for how long a request has occupied a replica of a service.
    auto record_service_time(service_name const& of, duration took) -> void;

    /// Records a failed attempt; the replica is avoided for a cooldown that
    /// doubles with each failure in a row.
    auto failed(endpoint_id const& id, time_point now) -> void;
    auto succeeded(endpoint_id const& id) -> void;

    /// Records that a replica asked this daemon to send it nothing for
    /// `length`. It is not chosen during that time.
    auto set_backoff(endpoint_id const& id, duration length, time_point now)
        -> void;

    /// Whether a request may be sent to a replica that was not chosen just now,
    /// as one that concerns a run on it. During a backoff a few are allowed;
    /// each call that returns true takes one.
    auto take_backoff_allowance(endpoint_id const& id, time_point now) -> bool;

    /// Time until the first replica of a service accepts work again; none
    /// unless all that are not leaving have asked for a backoff.
    [[nodiscard]] auto time_until_accepted(
        service_name const& of, time_point now) const
        -> std::optional<duration>;

    /// Whether a replica can run a request at once by the counts of all daemons
    /// and by what it reported itself.
    [[nodiscard]] auto has_room(
        endpoint_id const& id,
        placement_need const& need,
        std::optional<engine_traits> const& engine,
        time_point now) const -> bool;

    /// Whether a replica that holds the target pause of a stream is expected to
    /// have room for it soon: it lacks at most the memory of one such run.
    /// False for streams that do not need pace.
    [[nodiscard]] auto is_pace_expected(
        placement_need const& need,
        std::optional<engine_traits> const& engine,
        time_point now) const -> bool;

    /// Mean time that a service's replicas took for a request; none if none was
    /// measured.
    [[nodiscard]] auto mean_service_time(service_name const& of) const
        -> std::optional<duration>;

    /// Paces of the replicas.
    [[nodiscard]] auto pace() -> pace_policy&
    {
        return pace_;
    }

    /// The replica with the lowest score; none if no replica of the service
    /// accepts work. Where other daemons may have placed much since their
    /// counts, one of those with low scores, drawn by `choose_evenly`.
    auto choose(
        placement_need const& need,
        std::optional<engine_traits> const& engine,
        time_point now) -> std::optional<placement>;

    /// This daemon's own count.
    [[nodiscard]] auto own_load() const -> load_report const&
    {
        return own_;
    }

    /// Load on a replica, summed over this daemon's and its peers' counts.
    [[nodiscard]] auto load_of(endpoint_id const& id) const -> replica_load;

    /// Memory in tokens that other daemons migrate off a replica before this
    /// one: daemons migrate their streams in the order of their names.
    [[nodiscard]] auto movable_ahead(
        endpoint_id const& id, daemon_id const& self) const -> double;

    /// Share of the memory of a service's replicas that is in use by the counts
    /// of all daemons.
    [[nodiscard]] auto mean_memory_share(
        service_name const& service, engine_traits const& engine) const
        -> double;

    /// Load of each service's busiest replica over the mean of its replicas, by
    /// the counts of all daemons; services without load are left out. The load
    /// is the memory that streams hold, or the number of requests where none
    /// holds any.
    [[nodiscard]] auto load_spreads() const -> std::map<service_name, double>;

private:
    struct timed_peer_load
    {
        load_report report;
        time_point at;
        /// Requests on all replicas of the report.
        double requests = 0;
    };
    struct timed_reported_load
    {
        reported_load load;
        time_point at;
        /// Requests that this daemon has sent to the replica since.
        std::uint32_t sent_since = 0;
    };
    struct failure_count
    {
        std::uint32_t consecutive = 0;
        time_point cooldown_until;
    };
    struct backoff
    {
        time_point until;
        /// Requests sent during the backoff.
        std::uint32_t sent = 0;
    };

    /// Requests on a replica by the counts of all daemons, or by its own report
    /// if that is recent and states more.
    [[nodiscard]] auto busy_slots(
        replica const& candidate, time_point now) const -> std::uint32_t;
    /// What is known of the others' load on the replicas of a service, of which
    /// `compared` are candidates. None where the choice need not allow for
    /// unseen requests: if no replica states its load, if the replicas are not
    /// fewer than the daemons, or before the first measured service time.
    [[nodiscard]] auto others_on(
        placement_need const& need, std::size_t compared, time_point now) const
        -> std::optional<others_load>;
    /// Share of the other daemons' counts that still holds at a service time.
    [[nodiscard]] auto known_share(duration service_time, time_point now) const
        -> double;
    [[nodiscard]] auto counts_of(replica const& candidate, time_point now) const
        -> replica_counts;
    /// Score by the share of slots in use; applies if `choose` is given no
    /// engine traits.
    [[nodiscard]] auto plain_score(
        replica const& candidate,
        std::optional<others_load> const& others,
        time_point now) const -> double;
    [[nodiscard]] auto is_cooling_down(
        endpoint_id const& id, time_point now) const -> bool;
    /// A candidate with its limits, for a choice by `choose_evenly`.
    [[nodiscard]] auto describe(
        replica const& candidate,
        double score,
        placement_need const& need,
        std::optional<engine_traits> const& engine,
        time_point now) const -> scored_candidate;
    [[nodiscard]] auto memory_share(
        replica const& candidate,
        placement_need const& need,
        engine_traits const& engine) const -> double;
    /// Score by memory in use, prompts that wait for prefill, and slots in use
    /// beyond the capacity.
    [[nodiscard]] auto engine_score(
        replica const& candidate,
        placement_need const& need,
        engine_traits const& engine,
        time_point now) const -> double;
    [[nodiscard]] auto penalty(
        replica const& candidate,
        std::optional<zone_name> const& memory_zone,
        time_point now) const -> double;

    auto subtract_peer_load(timed_peer_load const& count) -> void;
    auto replace_load(
        timed_peer_load& count, load_report report, time_point now) -> void;
    auto expire_peers(time_point now) -> void;
    [[nodiscard]] auto is_backing_off(
        endpoint_id const& id, time_point now) const -> bool;
    auto candidates_for(placement_need const& need, time_point now)
        -> std::vector<replica>;
    auto refresh_pace(time_point now) -> void;
    /// Moves the replicas that hold the target pause of a stream to the front,
    /// if only some do. Returns the end of them.
    [[nodiscard]] auto partition_by_pace(
        std::vector<replica>& usable, placement_need const& need) const
        -> std::vector<replica>::iterator;

    zone_name zone_;
    std::mt19937_64 generator_;
    std::map<endpoint_id, replica> replicas_;
    load_report own_;
    std::map<daemon_id, timed_peer_load> peers_;
    /// Sum of all peers' and zones' counts.
    load_report peer_total_;
    std::map<endpoint_id, timed_reported_load> reported_loads_;
    std::map<service_name, service_time> service_times_;
    std::map<endpoint_id, failure_count> failures_;
    std::map<endpoint_id, backoff> backoffs_;
    std::map<zone_name, timed_peer_load> zones_;
    std::set<zone_name> evacuated_;
    pace_policy pace_;
};

} // namespace sapphirereel::relay

#endif
