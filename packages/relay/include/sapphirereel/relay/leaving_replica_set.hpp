/// \file
/// Defines what daemons tell each other of replicas that take no more work.
#ifndef SAPPHIREREEL_RELAY_LEAVING_REPLICA_SET_HPP
#define SAPPHIREREEL_RELAY_LEAVING_REPLICA_SET_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/peer_report.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace sapphirereel::relay {

/// Replicas that leave or are gone, each with the offset of the record that
/// says so. A later record of the same replica goes before it.
class leaving_replica_set
{
public:
    /// Takes in that a replica leaves; true if that is news.
    auto record_leaving(leaving_replica const& which, time_point now) -> bool;

    /// Whether a replica whose newest record is at an offset is known to leave.
    [[nodiscard]] auto covers(
        endpoint_id const& id, std::uint64_t record_offset) const -> bool;

    /// What is new enough to be told. Who misses it fetches a copy of the log.
    [[nodiscard]] auto entries_to_report(time_point now) const
        -> std::vector<leaving_replica>;

    /// Forgets what is old.
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
