/// \file
/// Defines relief: before an engine must preempt, the home picks the stream
/// with the least to lose, to be moved by its entry daemon if another replica
/// takes it.
#ifndef SAPPHIREREEL_CORE_MIGRATION_POLICY_HPP
#define SAPPHIREREEL_CORE_MIGRATION_POLICY_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/replica_ledger.hpp"

#include <map>
#include <optional>

namespace sapphirereel {

/// When and how often streams are moved.
struct migration_settings
{
    /// Most memory expected up to `look_ahead_step` that calls for no relief,
    /// as a share of the capacity.
    double threshold = 0.99;
    /// Index into `forecast_seconds`: how far ahead to look.
    std::size_t look_ahead_step = 2;
    /// Shortest time between two moves from one replica.
    duration min_interval = std::chrono::seconds(1);
    /// Shortest time that a stream stays before it is moved again.
    duration min_residence = std::chrono::seconds(20);
    /// Price of a move beyond recomputing its tokens, in tokens.
    double migration_overhead_tokens = 500;
    auto operator<=>(migration_settings const&) const = default;
};

/// Home to entry: move this stream away if another replica takes it.
struct migrate_message
{
    endpoint_id replica;
    run_id run;
    auto operator<=>(migrate_message const&) const = default;
};

/// Decides on moves from one replica.
class migration_policy
{
public:
    static auto create(migration_settings const& settings)
        -> result<migration_policy>;

    /// The stream to move, if memory will run out and a move is due. Least to
    /// lose is the lowest priority, then the least price for the memory that
    /// is still missing.
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
    /// When each stream was first seen here.
    std::map<run_id, time_point> arrived_at_;
};

} // namespace sapphirereel

#endif
