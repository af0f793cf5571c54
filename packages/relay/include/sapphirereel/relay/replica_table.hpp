/// \file
/// Defines what a daemon knows of the replicas: which there are, what runs on
/// them by its own count and its peers', and which one should take a request.
#ifndef SAPPHIREREEL_RELAY_REPLICA_TABLE_HPP
#define SAPPHIREREEL_RELAY_REPLICA_TABLE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
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
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    /// Whether it takes no new work because it is leaving.
    bool leaving = false;
    /// Unix time of its start; tells starts under one id apart.
    std::uint64_t started_at_ms = 0;
    auto operator<=>(replica const&) const = default;
};

/// Work on one replica, as one daemon counts it.
struct replica_load
{
    /// Calls and streams under way.
    std::uint32_t requests = 0;
    /// Memory that streams hold or are expected to need, in tokens.
    double memory_tokens = 0;
    /// Prompt tokens of streams whose first event has not come.
    double pending_prefill_tokens = 0;
    /// Memory of streams that would have to be moved if the replica left, in
    /// tokens: those of which no other replica keeps a copy.
    double movable_tokens = 0;
    auto operator<=>(replica_load const&) const = default;
};

/// Work on all replicas, as one daemon counts it.
using load_report = std::map<endpoint_id, replica_load>;

/// A replica's own word of its load, with an answer.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    auto operator<=>(reported_load const&) const = default;
};

/// What a request needs of a replica.
struct placement_need
{
    service_name service;
    /// Expected memory in tokens, prompt included; 0 for plain calls.
    double memory_tokens = 0;
    /// Prompt tokens to be read before the first event.
    double prompt_tokens = 0;
    /// Replicas that are not to be used.
    std::set<endpoint_id> excluded;
    /// Zone that the run's memory lies in, where it is to be moved.
    std::optional<zone_name> memory_zone = std::nullopt;
};

/// How a choice was made, for the log.
struct placement
{
    replica target;
    double score = 0;
    /// Share of the target's memory that is in use by all counts, the request
    /// included; 0 for plain calls.
    double memory_share = 0;
    /// Prompt tokens that the target reads first, by all counts.
    double pending_prefill_tokens = 0;
    /// Replicas that could have been chosen.
    std::size_t candidates = 0;
};

/// The replicas and the work on them.
class replica_table
{
public:
    replica_table(zone_name zone, std::uint64_t seed);

    /// Sets the list; returns the replicas that leave or are gone by it.
    auto set_replicas(std::vector<replica> const& listed)
        -> std::vector<replica>;

    [[nodiscard]] auto find(endpoint_id const& id) const -> replica const*;

    [[nodiscard]] auto replicas() const -> std::map<endpoint_id, replica> const&
    {
        return replicas_;
    }

    /// Adds to, or takes from, this daemon's own count.
    auto add(endpoint_id const& id, replica_load const& load) -> void;
    auto remove(endpoint_id const& id, replica_load const& load) -> void;

    /// Takes in a peer's count, which replaces its last one.
    auto set_peer_load(
        daemon_id const& peer, load_report report, time_point now) -> void;

    /// Takes in a replica's word of its load.
    auto set_reported_load(
        endpoint_id const& id, reported_load load, time_point now) -> void;

    /// Counts that a replica could not be used; it is avoided for a while.
    auto failed(endpoint_id const& id, time_point now) -> void;
    auto succeeded(endpoint_id const& id) -> void;

    /// The replica that should take a request; none if no replica of the
    /// service takes work.
    auto choose(
        placement_need const& need,
        std::optional<engine_traits> const& engine,
        time_point now) -> std::optional<placement>;

    /// This daemon's own count.
    [[nodiscard]] auto own_load() const -> load_report const&
    {
        return own_;
    }

    /// The work on a replica by all counts that are held.
    [[nodiscard]] auto load_of(endpoint_id const& id) const -> replica_load;

    /// Memory that other daemons would move off a replica before this one, in
    /// tokens: daemons take turns in the order of their names.
    [[nodiscard]] auto movable_ahead(
        endpoint_id const& id, daemon_id const& self) const -> double;

    /// Mean share of the memory of a service's replicas that is in use by all
    /// counts.
    [[nodiscard]] auto mean_memory_share(
        service_name const& service, engine_traits const& engine) const
        -> double;

private:
    struct timed_peer_load
    {
        load_report report;
        time_point at;
    };
    struct timed_reported_load
    {
        reported_load load;
        time_point at;
    };
    struct failure_count
    {
        std::uint32_t in_row = 0;
        time_point cooldown_until;
    };

    [[nodiscard]] auto plain_score(
        replica const& candidate, time_point now) const -> double;
    [[nodiscard]] auto memory_share(
        replica const& candidate,
        placement_need const& need,
        engine_traits const& engine) const -> double;
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
    auto expire_peers(time_point now) -> void;
    auto candidates_for(placement_need const& need) -> std::vector<replica>;

    zone_name zone_;
    std::mt19937_64 generator_;
    std::map<endpoint_id, replica> replicas_;
    load_report own_;
    std::map<daemon_id, timed_peer_load> peers_;
    /// Sum of the peers' counts.
    load_report peer_total_;
    std::map<endpoint_id, timed_reported_load> reported_loads_;
    std::map<endpoint_id, failure_count> failures_;
};

} // namespace sapphirereel::relay

#endif
