/// \file
/// Defines what the renewals of replicas' entries show about a time in which
/// this daemon did not reach the log: whether the log was out of service, so
/// that entries may have expired, or only out of this daemon's reach.
#ifndef SAPPHIREREEL_RELAY_RENEWAL_EVIDENCE_HPP
#define SAPPHIREREEL_RELAY_RENEWAL_EVIDENCE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/record_cache.hpp"

#include <cstddef>
#include <vector>

namespace sapphirereel::relay {

/// Median number of times that an entry was written, over the entries that the
/// records write and do not remove; 0 without any.
auto median_renewals(std::vector<keyed_record> const& records) -> std::size_t;

/// Whether entries were renewed throughout `time`, of which these are all
/// records. Replicas renew their entries each `interval`, and an entry expires
/// after three intervals without a renewal: that takes the log to be out of
/// service for two of them.
auto were_renewed_throughout(
    std::vector<keyed_record> const& records, duration time, duration interval)
    -> bool;

} // namespace sapphirereel::relay

#endif
