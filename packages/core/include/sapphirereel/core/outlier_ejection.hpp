/// \file
/// Defines outlier ejection: replicas that fail repeatedly get no requests for
/// some time, at most a third of the replicas that are set at once.
#ifndef SAPPHIREREEL_CORE_OUTLIER_EJECTION_HPP
#define SAPPHIREREEL_CORE_OUTLIER_EJECTION_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/slow_start.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace sapphirereel {

/// When a replica is ejected and for how long.
struct outlier_settings
{
    /// Consecutive failures that eject a replica.
    std::uint32_t failures = 5;
    /// Time of the first ejection; doubles with each one up to the longest.
    duration first_ejection = std::chrono::seconds(5);
    duration longest_ejection = std::chrono::minutes(5);
    /// Time in service after which earlier ejections no longer count.
    duration forgotten_after = std::chrono::minutes(10);
    /// Largest share of replicas ejected at once, as a divisor: 3 is a third.
    std::uint32_t most_ejected_divisor = 3;
    slow_start_settings slow_start;
    auto operator<=>(outlier_settings const&) const = default;
};

/// Health of a set of replicas, as one entry daemon observes it. The daemon
/// uses one object for the endpoints of all services, so that the limit on
/// ejected replicas applies to all of them together. Failures of the replica
/// itself count, not those of single requests.
class outlier_ejection
{
public:
    static auto create(outlier_settings const& settings, std::uint64_t seed)
        -> result<outlier_ejection>;

    /// Sets the replicas and drops all others.
    auto set_replicas(std::set<endpoint_id> const& replicas) -> void;

    auto succeeded(endpoint_id const& replica, time_point now) -> void;

    /// Counts a failure; ejects the replica if it has failed often enough and
    /// the limit on ejected replicas allows it.
    auto failed(endpoint_id const& replica, time_point now) -> void;

    [[nodiscard]] auto ejected(endpoint_id const& replica, time_point now) const
        -> bool;

    /// Share of its normal traffic that the replica gets: 0 while ejected,
    /// then slow start, 1 for one that was never ejected.
    [[nodiscard]] auto share(endpoint_id const& replica, time_point now) const
        -> double;

    [[nodiscard]] auto ejected_count(time_point now) const -> std::size_t;

private:
    struct replica_health
    {
        std::uint32_t consecutive_failures = 0;
        std::uint32_t ejections = 0;
        std::optional<time_point> returns_at;
    };

    outlier_ejection(outlier_settings const& settings, std::uint64_t seed)
        : settings_(settings)
        , generator_(seed)
    {}

    auto eject(replica_health& health, time_point now) -> void;

    outlier_settings settings_;
    std::mt19937_64 generator_;
    std::map<endpoint_id, replica_health> replicas_;
};

} // namespace sapphirereel

#endif
