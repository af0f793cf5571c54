/// \file
/// Defines the selection of the primary log readers: the few daemons that long
/// poll the platform's log. The others fetch changes from them, so that the
/// calls to the log do not grow with the number of daemons.
#ifndef SAPPHIREREEL_RELAY_LOG_READER_SELECTION_HPP
#define SAPPHIREREEL_RELAY_LOG_READER_SELECTION_HPP

#include "sapphirereel/relay/log_follower.hpp"
#include "sapphirereel/relay/peer_report.hpp"

#include <string>
#include <vector>

namespace sapphirereel::relay {

/// Whether a daemon is a primary log reader, that is, among the first of the
/// daemons that are alive. Daemons that reach the log come first; then daemons
/// are ordered by their rank within their zone, by zone and by address, so that
/// the reads are spread over the links of the zones. If too few reach the log,
/// the first of the others try. A daemon without live peers is a primary
/// reader. `alive` holds all daemons of the own zone and at least one of each
/// other zone that has any.
auto is_primary_log_reader(
    std::string const& own_ip,
    zone_name const& own_zone,
    std::vector<peer_report> const& alive,
    bool reaches_log = true) -> bool;

/// Longest long-poll timeout of primary reads.
inline constexpr auto max_primary_read_wait =
    duration{std::chrono::milliseconds{1'000}};

/// Polling settings of a primary or secondary reader among `daemons` daemons.
/// `is_alone` tells that none of the others is alive, as when this one is cut
/// off from them; many may be at the same time. `shortest_bound` is the
/// shortest time within which a change must take effect.
auto follow_settings_for(
    bool is_primary,
    std::size_t daemons,
    bool is_alone = false,
    duration shortest_bound = duration::max()) -> follow_settings;

} // namespace sapphirereel::relay

#endif
