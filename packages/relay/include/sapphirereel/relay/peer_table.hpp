/// \file
/// Defines the membership table of the other daemons, with failure detection by
/// the time since a daemon's last report.
#ifndef SAPPHIREREEL_RELAY_PEER_TABLE_HPP
#define SAPPHIREREEL_RELAY_PEER_TABLE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/peer_report.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphirereel::relay {

/// The known addresses of other daemons and their last reports.
class peer_table
{
public:
    /// `own_ip` is never added to the table.
    peer_table(std::string own_ip, std::vector<std::string> const& seeds);

    /// Adds addresses at which daemons may run.
    auto add(std::vector<std::string> const& seeds) -> void;

    /// Applies a report. Returns false if it is this daemon's own, names no
    /// address, or is not newer than the last one of the same incarnation; in
    /// the last case only the addresses that it lists are added.
    auto apply_report(peer_report const& report, time_point now) -> bool;

    /// Addresses to report to: the daemons that are alive, and the other known
    /// addresses too if `with_unresponsive`.
    [[nodiscard]] auto targets(time_point now, bool with_unresponsive) const
        -> std::vector<std::string>;

    /// Addresses of the daemons of a zone that are alive.
    [[nodiscard]] auto targets_in(zone_name const& zone, time_point now) const
        -> std::vector<std::string>;

    /// The last reports of the daemons that are alive.
    [[nodiscard]] auto alive(time_point now) const -> std::vector<peer_report>;

    /// Known addresses, up to the limit of one periodic report.
    [[nodiscard]] auto known_addresses() const -> std::vector<std::string>;

    /// All known addresses.
    [[nodiscard]] auto all_known_addresses() const -> std::vector<std::string>
    {
        return {known_.begin(), known_.end()};
    }

    /// Whether a report has arrived from an address.
    [[nodiscard]] auto has_report_from(std::string const& ip) const -> bool
    {
        return peers_.contains(ip);
    }

    /// Upper bound on the number of running daemons, this one included.
    [[nodiscard]] auto max_daemons() const -> std::size_t
    {
        return known_.size() + 1;
    }

private:
    struct peer
    {
        peer_report last;
        time_point received_at;
    };

    [[nodiscard]] auto is_alive(peer const& which, time_point now) const
        -> bool;

    std::string own_ip_;
    std::set<std::string> known_;
    std::map<std::string, peer> peers_;
};

} // namespace sapphirereel::relay

#endif
