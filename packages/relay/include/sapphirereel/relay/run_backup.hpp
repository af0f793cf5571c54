/// \file
/// Defines the copy of a run's memory that another replica keeps while the run
/// grows, so that the run can go on there if its own replica is lost.
#ifndef SAPPHIREREEL_RELAY_RUN_BACKUP_HPP
#define SAPPHIREREEL_RELAY_RUN_BACKUP_HPP

#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/stream_load.hpp"

#include <optional>

namespace sapphirereel::relay {

/// A run that may be worth a copy.
struct backup_candidate
{
    /// What the run needs; replicas that it has left are excluded.
    placement_need need;
    /// Where it runs.
    replica source;
    /// Output that it is expected to make, in tokens.
    double expected_output = 0;
};

/// Keeps track of one run's copy and of the memory that it counts for.
class run_backup
{
public:
    explicit run_backup(replica_table& replicas);

    /// Gives up the copy that there was, and picks a replica for a new one if
    /// the run is worth it and there is room.
    auto choose(
        backup_candidate const& wish,
        std::optional<engine_traits> const& engine,
        time_point now) -> void;

    auto release() -> void;

    /// The replica that was asked to keep the copy, if any.
    [[nodiscard]] auto holder() const -> std::optional<replica> const&
    {
        return holder_;
    }

    /// The holder as it is listed now; none if it has gone, or has started
    /// again and so lost the copy.
    [[nodiscard]] auto listed_holder() const -> replica const*;

    /// Whether the copy will be there when the run's own replica has gone.
    [[nodiscard]] auto is_usable() const -> bool;

private:
    replica_table* replicas_;
    stream_load load_;
    std::optional<replica> holder_;
};

} // namespace sapphirereel::relay

#endif
