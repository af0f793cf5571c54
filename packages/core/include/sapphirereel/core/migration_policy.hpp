/// \file
/// Defines the migration policy of a home daemon: before a replica's engine
/// must preempt, it selects the stream that is cheapest to migrate, which the
/// entry daemon moves if another replica accepts it.
/// Not connected to the daemon.
#ifndef SAPPHIREREEL_CORE_MIGRATION_POLICY_HPP
#define SAPPHIREREEL_CORE_MIGRATION_POLICY_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/replica_ledger.hpp"

#include <map>
#include <optional>

namespace sapphirereel {

/// When and how often streams are migrated.
struct migration_settings
{
    /// Share of the capacity that the expected memory may reach up to
    /// `look_ahead_step` without a migration.
    double threshold = 0.99;
    /// Last index into `forecast_seconds` that is considered.
    std::size_t look_ahead_step = 2;
    /// Shortest time between two migrations from one replica.
    duration min_interval = std::chrono::seconds(1);
    /// Shortest time that a stream stays on a replica before it may be
    /// migrated.
    duration min_residence = std::chrono::seconds(20);
    /// Cost of a migration beyond recomputing the stream's tokens, in tokens.
    double migration_overhead_tokens = 500;
    auto operator<=>(migration_settings const&) const = default;
};

/// Home to entry: migrate this stream if another replica accepts it.
struct migrate_message
{
    endpoint_id replica;
    run_id run;
    auto operator<=>(migrate_message const&) const = default;
};

/// Decides on migrations from one replica.
class migration_policy
{
public:
    static auto create(migration_settings const& settings)
        -> result<migration_policy>;

    /// The stream to migrate, if memory will run out and a migration is due:
    /// the one of the lowest priority, then of the least cost for the missing
    /// memory that it frees.
    auto choose(
        replica_ledger const& ledger,
        length_estimator const& lengths,
        time_point now) -> std::optional<run_id>;

private:
    explicit migration_policy(migration_settings const& settings)
        : settings_(settings)
    {}

    auto update_arrivals(replica_ledger const& ledger, time_point now) -> void;
    [[nodiscard]] auto migration_cost(double memory, double missing) const
        -> double;

    migration_settings settings_;
    std::optional<time_point> last_migration_;
    /// When each stream was first seen on this replica.
    std::map<run_id, time_point> arrived_at_;
};

} // namespace sapphirereel

#endif
