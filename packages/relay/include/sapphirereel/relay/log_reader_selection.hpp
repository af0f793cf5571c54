/// \file
/// Defines which daemons read the platform's log closely. The others hear of
/// news from them, so that calls to the log do not grow with the daemons.
#ifndef SAPPHIREREEL_RELAY_LOG_READER_SELECTION_HPP
#define SAPPHIREREEL_RELAY_LOG_READER_SELECTION_HPP

#include "sapphirereel/relay/log_follower.hpp"
#include "sapphirereel/relay/peer_report.hpp"

#include <string>
#include <vector>

namespace sapphirereel::relay {

/// Whether a daemon reads closely: it is among the first of the daemons that
/// are alive and in touch with the log. The first of each zone, in order of
/// their addresses, go before the second of any, so that one zone's links don't
/// carry all reads. One that hears of no other reads closely.
auto is_primary_log_reader(
    std::string const& own_ip,
    zone_name const& own_zone,
    std::vector<peer_report> const& alive) -> bool;

/// How the streams are followed by a daemon that reads closely or not, where
/// there are so many daemons.
auto follow_settings_for(bool is_primary, std::size_t daemons)
    -> follow_settings;

} // namespace sapphirereel::relay

#endif
