/// \file
/// Defines which other daemons there are, by their reports: who is alive, who
/// takes callers, and to whom this daemon reports.
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

/// The other daemons.
class peer_table
{
public:
    /// `own_ip` is left out wherever it is heard of.
    peer_table(std::string own_ip, std::vector<std::string> const& seeds);

    /// Adds addresses at which daemons may be found.
    auto add(std::vector<std::string> const& seeds) -> void;

    /// Takes in a report. False if it is older than what is known.
    auto apply_report(peer_report const& report, time_point now) -> bool;

    /// Addresses to report to: daemons that are alive, and now and then those
    /// that were heard of and don't answer.
    [[nodiscard]] auto targets(time_point now, bool with_unresponsive) const
        -> std::vector<std::string>;

    /// Addresses of the daemons of a zone that are alive.
    [[nodiscard]] auto targets_in(zone_name const& zone, time_point now) const
        -> std::vector<std::string>;

    /// The last reports of the daemons that are alive.
    [[nodiscard]] auto alive(time_point now) const -> std::vector<peer_report>;

    /// Some addresses of daemons heard of, to be told to others.
    [[nodiscard]] auto known_addresses() const -> std::vector<std::string>;

    /// All of them.
    [[nodiscard]] auto all_known_addresses() const -> std::vector<std::string>
    {
        return {known_.begin(), known_.end()};
    }

    /// Whether a daemon has reported itself.
    [[nodiscard]] auto has_report_from(std::string const& ip) const -> bool
    {
        return peers_.contains(ip);
    }

    /// Largest number of daemons, this one included, that may be running.
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
