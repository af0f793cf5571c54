/// \file
/// Defines the registry of cold replicas: those that have started, or whose
/// zone was returned to service, so recently that they take only a few requests
/// per second.
#ifndef SAPPHIREREEL_RELAY_COLD_REPLICAS_HPP
#define SAPPHIREREEL_RELAY_COLD_REPLICAS_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/relay/cold_entry.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/routing.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sapphirereel::relay {

/// When each replica will be warm, by its record, its responses, the reports of
/// peers and the return of its zone to service.
class cold_replicas
{
public:
    /// Replaces the services whose replicas may be cold. Replicas of a service
    /// without a rate are never cold.
    auto set_services(std::vector<service> const& services) -> void;

    /// Records what a replica's newest record states. Records of one replica
    /// have to come in their order.
    auto record_listed(replica const& listed, time_point now) -> void;

    /// Records what a response to a request that was sent at `sent_at` states:
    /// the time until the replica is warm, 0 if it is. Returns whether the
    /// replica has become cold unexpectedly.
    auto record_response(
        replica const& from,
        duration remaining,
        time_point sent_at,
        time_point now) -> bool;

    /// Applies a peer's entries. Returns whether one of them is news.
    auto apply_report(
        std::vector<cold_entry> const& entries,
        std::map<endpoint_id, replica> const& listed,
        time_point now) -> bool;

    /// Makes all replicas of zones cold for their service's time from now on,
    /// so that not all daemons send there at once.
    auto zones_returned(
        std::set<zone_name> const& zones,
        std::map<endpoint_id, replica> const& listed,
        time_point now) -> void;

    /// Requests per second that all daemons together may send to a replica;
    /// none if it is warm.
    [[nodiscard]] auto rate_of(endpoint_id const& id, time_point now) const
        -> std::optional<double>;

    /// The rate of a service's cold replicas; none if it has no limit.
    [[nodiscard]] auto rate_of_service(service_name const& name) const
        -> std::optional<double>;

    /// Whether the requests that daemons place on a service's replicas are
    /// reported at once: streams at model engines.
    [[nodiscard]] auto reports_placements(service_name const& name) const
        -> bool;

    /// Whether no replica is known to be cold.
    [[nodiscard]] auto is_empty() const -> bool
    {
        return replicas_.empty();
    }

    /// The replicas that are cold.
    [[nodiscard]] auto cold_now(time_point now) const -> std::set<endpoint_id>;

    /// Cold replicas whose records do not say so: peers may not know of them.
    /// If there are more than one report holds, consecutive calls return them
    /// in turn.
    [[nodiscard]] auto entries_to_report(time_point now)
        -> std::vector<cold_entry>;

    /// Drops the entries of replicas that are not listed or are warm.
    auto retain(std::map<endpoint_id, replica> const& listed, time_point now)
        -> void;

private:
    struct cold_terms
    {
        duration warmup{0};
        double rate = 0;
        bool is_engine = false;
    };
    /// Times at which a replica is warm, by source. The latest decides.
    struct warm_times
    {
        service_name service;
        std::uint64_t started_at_ms = 0;
        time_point by_record{};
        time_point by_statement{};
        /// By a peer's report, which may know of the return of the zone; what
        /// the replica states does not lower it.
        time_point by_report{};
        time_point by_return{};
        /// When the last record or response arrived.
        time_point known_at{};

        [[nodiscard]] auto latest() const -> time_point;
        /// The latest time that peers may not know.
        [[nodiscard]] auto unlisted() const -> time_point;
    };

    /// The entry of a replica's start; a new one if the replica has started
    /// anew.
    auto entry_of(replica const& which) -> warm_times&;

    std::map<service_name, cold_terms> services_;
    std::map<endpoint_id, warm_times> replicas_;
    /// The last replica of the last report.
    endpoint_id last_reported_;
};

} // namespace sapphirereel::relay

#endif
