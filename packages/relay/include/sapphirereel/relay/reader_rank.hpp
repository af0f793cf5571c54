/// \file
/// Defines which daemons read the platform's log closely. The others hear of
/// news from them, so that calls to the log do not grow with the daemons.
#ifndef SAPPHIREREEL_RELAY_READER_RANK_HPP
#define SAPPHIREREEL_RELAY_READER_RANK_HPP

#include "sapphirereel/relay/log_follower.hpp"
#include "sapphirereel/relay/peer_report.hpp"

#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Whether a daemon reads closely: it is among the first of the daemons that
/// are alive and in touch with the log, in order of their addresses. One that
/// hears of no other reads closely.
auto reads_closely(
    std::string_view own_ip, std::vector<peer_report> const& alive) -> bool;

/// How the streams are followed by a daemon that reads closely or not, where
/// there are so many daemons.
auto follow_settings_of(bool closely, std::size_t daemons) -> follow_settings;

} // namespace sapphirereel::relay

#endif
