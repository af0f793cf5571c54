/// \file
/// Defines what daemons tell each other about replicas, streams and crashes:
/// this daemon's part of a report, and what a peer's report changes here.
#ifndef SAPPHIREREEL_RELAY_REPORT_CONTENT_HPP
#define SAPPHIREREEL_RELAY_REPORT_CONTENT_HPP

#include "sapphirereel/relay/peer_gossip.hpp"
#include "sapphirereel/relay/relay_state.hpp"

#include <functional>
#include <vector>

namespace sapphirereel::relay {

/// The content of one daemon's reports. Its state and its peers outlive it.
class report_content
{
public:
    /// `crashes_found` is called when a prompt part is known to crash replicas,
    /// so that requests with it end.
    report_content(
        relay_state& state,
        peer_gossip& peers,
        zone_name own_zone,
        std::function<void()> crashes_found);

    /// Fills in what this daemon reports.
    auto fill(peer_report& report, time_point now) const -> void;

    /// Applies a peer's report.
    auto apply(peer_report const& report, time_point now) -> void;

    /// Rules on parts that were at several crashes, and tells the peers.
    auto update_parts(time_point now) -> void;

private:
    /// The streams that wait for room, for services that peers may have more
    /// or less urgent streams of.
    [[nodiscard]] auto waiting_streams() const -> std::vector<waiting_entry>;

    /// In a large fleet the load of another zone is known only as a sum.
    auto apply_load(peer_report const& report, time_point now) -> void;

    /// A ruling ends the requests that it concerns.
    auto apply_parts(part_reports const& reports, time_point now) -> void;

    /// In a large fleet changes are passed on, since daemons report to their
    /// zone and a few others.
    auto pass_on(bool is_changed) -> void;

    relay_state* state_;
    peer_gossip* peers_;
    zone_name zone_;
    std::function<void()> crashes_found_;
};

} // namespace sapphirereel::relay

#endif
