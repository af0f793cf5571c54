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

/// Replicas that leave or have been removed, each with the offset of the log
/// record that says so. A later record of the same replica supersedes it.
class leaving_replica_set
{
public:
    /// Records that a replica leaves. Returns false if a record at the same or
    /// a later offset was there already.
    auto record_leaving(leaving_replica const& which, time_point now) -> bool;

    /// Whether a replica is in the set and its newest log record, which is at
    /// `record_offset`, does not supersede the entry.
    [[nodiscard]] auto covers(
        endpoint_id const& id, std::uint64_t record_offset) const -> bool;

    /// Entries recent enough to report. A peer that misses the reports learns
    /// of the replica from a copy of the log.
    [[nodiscard]] auto entries_to_report(time_point now) const
        -> std::vector<leaving_replica>;

    /// Drops old entries.
    auto expire(time_point now) -> void;

private:
    struct leaving_entry
    {
        std::uint64_t offset = 0;
        time_point at{};
    };

    std::map<endpoint_id, leaving_entry> entries_;
};

} // namespace sapphirereel::relay

#endif
