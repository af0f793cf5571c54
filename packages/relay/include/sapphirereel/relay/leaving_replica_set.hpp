/// \file
/// Defines the set of leaving replicas that daemons report to each other.
#ifndef SAPPHIREREEL_RELAY_LEAVING_REPLICA_SET_HPP
#define SAPPHIREREEL_RELAY_LEAVING_REPLICA_SET_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/peer_report.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace sapphirereel::relay {

/// A replica's record as found in a daemon's copy of the log.
struct replica_record
{
    log_position position;
    std::uint64_t started_at_ms = 0;
    std::uint64_t renewal = 0;
    auto operator<=>(replica_record const&) const = default;
};

/// Replicas that leave or have been removed. An entry concerns one start of a
/// replica; a record of a later start is never covered by it.
class leaving_replica_set
{
public:
    /// Records that a replica leaves. Returns false if that was known already.
    auto record_leaving(leaving_replica const& which, time_point now) -> bool;

    /// Whether a replica leaves or is gone although its newest log record does
    /// not say so. A replica that announced its end stays in the set. One whose
    /// record vanished is back with a later record of the same era, or with a
    /// later renewal in a restored log, whose old records come back too.
    [[nodiscard]] auto covers(
        endpoint_id const& id, replica_record const& record) const -> bool;

    /// Entries recent enough to report. A peer that misses the reports learns
    /// of the replica from a copy of the log.
    [[nodiscard]] auto entries_to_report(time_point now) const
        -> std::vector<leaving_replica>;

    /// Drops old entries.
    auto expire(time_point now) -> void;

private:
    struct leaving_entry
    {
        leaving_replica replica;
        time_point at{};
    };

    std::map<endpoint_id, leaving_entry> entries_;
};

} // namespace sapphirereel::relay

#endif
