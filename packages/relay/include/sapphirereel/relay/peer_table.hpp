/// \file
/// Defines the membership table of the other daemons, with failure detection by
/// the time since a daemon's last report, and the choice of the daemons that
/// this one reports to.
#ifndef SAPPHIREREEL_RELAY_PEER_TABLE_HPP
#define SAPPHIREREEL_RELAY_PEER_TABLE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/relay/peer_report.hpp"

#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sapphirereel::relay {

/// Most daemons that report to each other directly. In a larger fleet a daemon
/// reports to the daemons of its zone, and asks one daemon of each other zone
/// for what that zone knows.
inline constexpr auto max_full_mesh = std::size_t{100};

/// The daemon that issues the permits for a replica, and the part of the
/// replica's limit that it issues permits for.
struct permit_home
{
    std::string ip;
    double share = 1;
    auto operator<=>(permit_home const&) const = default;
};

/// The known addresses of other daemons and their last reports.
class peer_table
{
public:
    /// `own_ip` is never added to the table. A daemon that is silent for
    /// `silence_limit` and answers no question is dead before its timeout.
    peer_table(
        std::string own_ip,
        std::vector<std::string> const& seeds,
        zone_name own_zone = {},
        std::uint64_t seed = 0,
        duration silence_limit = duration::max());

    /// Adds addresses at which daemons may run.
    auto add(std::vector<std::string> const& seeds) -> void;

    /// Applies a report. Returns false if it is this daemon's own, names no
    /// address, or is not newer than the last one of the same incarnation; in
    /// the last case only the addresses that it lists are added.
    auto apply_report(peer_report const& report, time_point now) -> bool;

    /// Share of the daemons among which reports go round that this one hears,
    /// itself included.
    [[nodiscard]] auto reachable_share(time_point now) const -> double;

    /// Whether the fleet is so large that daemons report to their zone only.
    [[nodiscard]] auto is_zoned() const -> bool
    {
        return max_daemons() > max_full_mesh;
    }

    /// Number of daemons among which reports go round: all, or those of this
    /// daemon's zone in a large fleet.
    [[nodiscard]] auto mesh_size() const -> std::size_t;

    /// Addresses to report to: the daemons that are alive, and the other known
    /// addresses too if `with_unresponsive`. In a large fleet only those of
    /// this daemon's zone and of unknown zones.
    [[nodiscard]] auto targets(time_point now, bool with_unresponsive) const
        -> std::vector<std::string>;

    /// Addresses of the daemons of a zone that are alive.
    [[nodiscard]] auto targets_in(zone_name const& zone, time_point now) const
        -> std::vector<std::string>;

    /// The daemons, among those that reports go round, whose report is overdue
    /// and that are to be asked for one now; a few at a time.
    auto take_overdue(time_point now) -> std::vector<std::string>;

    /// In a large fleet, one daemon of each other zone to ask for a report. One
    /// that does not answer is replaced by another at random.
    auto contacts(time_point now) -> std::vector<std::string>;

    /// The home of a replica by rendezvous hashing over the daemons that are
    /// alive, this one included; in a large fleet over those of this daemon's
    /// zone.
    [[nodiscard]] auto permit_home_of(
        endpoint_id const& replica, time_point now) const -> permit_home;

    /// The part of a replica's limit that one home issues permits for: a zone's
    /// share in a large fleet. Less if daemons that were alive lately are not
    /// heard any more, because they may issue permits on their side of a
    /// partition.
    [[nodiscard]] auto permit_share(time_point now) const -> double;

    /// The part of a cold replica's rate that this daemon issues permits for: 0
    /// unless it is the replica's home, else the part of the known daemons that
    /// are alive. Daemons that are not heard may issue permits on the other
    /// side of a partition, however long that lasts.
    [[nodiscard]] auto cold_permit_share(
        endpoint_id const& replica, time_point now) const -> double;

    /// The last reports of the daemons that are alive. In a large fleet these
    /// are all daemons of this zone and a few of each other one.
    [[nodiscard]] auto alive(time_point now) const -> std::vector<peer_report>;

    /// Some known addresses, up to the limit of one periodic report. In a large
    /// fleet they are drawn at random.
    [[nodiscard]] auto known_addresses() -> std::vector<known_address>;

    /// All known addresses.
    [[nodiscard]] auto all_known_addresses() const
        -> std::vector<known_address>;

    /// Whether a report has arrived from an address.
    [[nodiscard]] auto has_report_from(std::string const& ip) const -> bool
    {
        return peers_.contains(ip);
    }

    /// Number of reports that have arrived from an address since its process
    /// has started.
    [[nodiscard]] auto reports_since_start(std::string const& ip) const
        -> unsigned;

    /// Version of the encoding that the daemon at an address sent; none if it
    /// has not reported.
    [[nodiscard]] auto version_of(std::string const& ip) const
        -> std::optional<std::uint32_t>;

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
        /// Questions since the last report, and when the last one was asked.
        int unanswered = 0;
        time_point asked_at{};
        /// Reports since its process has started.
        unsigned reports = 1;
    };
    struct contact
    {
        std::string ip;
        time_point first_asked_at;
    };

    auto add(known_address const& address) -> void;
    /// Whether a daemon issues permits to this one.
    [[nodiscard]] auto is_permit_member(peer const& which) const -> bool;
    [[nodiscard]] auto zones_of_others() const -> std::set<zone_name>;
    [[nodiscard]] auto timeout() const -> duration;
    [[nodiscard]] auto is_elsewhere(peer const& which) const -> bool;
    /// Whether a daemon has been silent for long and answers no question.
    [[nodiscard]] auto is_unresponsive(peer const& which, time_point now) const
        -> bool;
    [[nodiscard]] auto is_alive(peer const& which, time_point now) const
        -> bool;
    [[nodiscard]] auto is_alive(std::string const& ip, time_point now) const
        -> bool;
    auto choose_contact(zone_name const& zone, time_point now) -> contact;

    std::string own_ip_;
    zone_name own_zone_;
    duration silence_limit_;
    std::mt19937_64 generator_;
    /// Zone by address; empty if it is not known.
    std::map<std::string, zone_name> known_;
    /// Number of known addresses of this daemon's zone.
    std::size_t known_in_zone_ = 0;
    std::map<std::string, peer> peers_;
    std::map<zone_name, contact> contacts_;
};

} // namespace sapphirereel::relay

#endif
