/// \file
/// Defines the backup of a run: a copy of its KV cache that another replica
/// keeps while the run grows, and from which the run resumes if its own replica
/// is lost.
#ifndef SAPPHIREREEL_RELAY_RUN_BACKUP_HPP
#define SAPPHIREREEL_RELAY_RUN_BACKUP_HPP

#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/stream_load.hpp"

#include <optional>

namespace sapphirereel::relay {

/// A run that may be backed up.
struct backup_candidate
{
    /// What the run needs; replicas that it has left are excluded.
    placement_need need;
    /// The replica that runs it.
    replica source;
    /// Expected output, in tokens.
    double expected_output = 0;
};

/// Tracks one run's backup and registers the memory that it takes.
class run_backup
{
public:
    explicit run_backup(replica_table& replicas);

    /// Releases the previous backup, and chooses a replica for a new one if the
    /// run is long enough and the replicas have enough free memory.
    auto choose(
        backup_candidate const& candidate,
        std::optional<engine_traits> const& engine,
        time_point now) -> void;

    auto release() -> void;

    /// The replica that holds the backup, if any.
    [[nodiscard]] auto holder() const -> std::optional<replica> const&
    {
        return holder_;
    }

    /// The holder's current entry in the replica table; null if it is gone, has
    /// restarted and so lost the copy, or is in an evacuated zone.
    [[nodiscard]] auto listed_holder() const -> replica const*;

    /// Whether the backup is expected to exist when the run's own replica is
    /// gone and may be used: its holder is neither gone nor draining, nor in an
    /// evacuated zone.
    [[nodiscard]] auto is_usable() const -> bool;

private:
    replica_table* replicas_;
    stream_load load_;
    std::optional<replica> holder_;
};

} // namespace sapphirereel::relay

#endif
