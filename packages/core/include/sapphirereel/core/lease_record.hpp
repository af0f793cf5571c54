/// \file
/// Defines the records of the log stream `leases`.
#ifndef SAPPHIREREEL_CORE_LEASE_RECORD_HPP
#define SAPPHIREREEL_CORE_LEASE_RECORD_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/log_record.hpp"

#include <cstdint>
#include <vector>

namespace sapphirereel {

/// The resource that a lease covers, for instance `orders/engine-1` or
/// `weights/3`.
using lease_name = identifier<struct lease_name_tag>;

/// Kind of a lease entry.
enum class lease_kind
{
    acquire,
    renew,
    release
};

/// One entry in the stream `leases`. The offset of the acquire record is the
/// lease's fencing token.
struct lease_entry
{
    lease_kind kind = lease_kind::acquire;
    lease_name name;
    daemon_id holder;
    /// Duration of the lease, counted from this record.
    duration term{0};
    /// For renew and release the lease's fencing token; for acquire the offset
    /// of the last record of the lease that the writer has read, 0 for none.
    log_offset fence;
    /// Sequence number of the entry at its writer. Retried copies of one entry
    /// share it, so that a late copy is not mistaken for a later entry.
    std::uint64_t number = 0;
    auto operator<=>(lease_entry const&) const = default;
};

/// A record of the stream `leases`. A body that cannot be decoded yields no
/// entries.
struct lease_log_record
{
    log_offset offset;
    wall_time appended;
    std::vector<lease_entry> entries;
    auto operator<=>(lease_log_record const&) const = default;
};

/// One response of the log service to a read of the stream `leases`.
struct lease_page
{
    log_offset first;
    log_offset next;
    std::vector<lease_log_record> records;
    auto operator<=>(lease_page const&) const = default;
};

} // namespace sapphirereel

#endif
