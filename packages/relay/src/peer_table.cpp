#include "sapphirereel/relay/peer_table.hpp"

#include "sapphirereel/core/rendezvous.hpp"
#include "sapphirereel/relay/control_intervals.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Maximum number of addresses that one periodic report lists.
constexpr auto max_addresses_in_report = std::size_t{24};

/// Time for which a daemon that is not heard any more is taken to be running on
/// the other side of a partition.
constexpr auto partition_memory = duration{std::chrono::seconds{20}};

/// Most daemons that are asked for an overdue report at a time: where many are
/// lost together, the questions must not fill the link.
constexpr auto max_questions_at_a_time = std::size_t{8};

} // namespace

peer_table::peer_table(
    std::string own_ip,
    std::vector<std::string> const& seeds,
    zone_name own_zone,
    std::uint64_t seed,
    duration silence_limit)
    : own_ip_(std::move(own_ip))
    , own_zone_(std::move(own_zone))
    , silence_limit_(silence_limit)
    , generator_(seed)
{
    add(seeds);
}

auto peer_table::add(std::vector<std::string> const& seeds) -> void
{
    for (auto const& each : seeds)
    {
        add(known_address{each, zone_name{}});
    }
}

auto peer_table::add(known_address const& address) -> void
{
    if (address.ip == own_ip_ || address.ip.empty())
    {
        return;
    }
    auto& zone = known_.try_emplace(address.ip).first->second;
    if (!zone.str().empty() || address.zone.str().empty())
    {
        return;
    }
    zone = address.zone;
    known_in_zone_ += zone == own_zone_ ? 1 : 0;
}

auto peer_table::apply_report(peer_report const& report, time_point now) -> bool
{
    if (report.ip == own_ip_ || report.ip.empty())
    {
        return false;
    }
    for (auto const& each : report.known_addresses)
    {
        add(each);
    }
    add(known_address{report.ip, report.zone});
    auto const [held, is_new] =
        peers_.try_emplace(report.ip, peer{report, now});
    if (is_new)
    {
        return true;
    }
    auto const& last = held->second.last;
    auto const is_older = report.incarnation == last.incarnation &&
                          report.sequence <= last.sequence;
    if (is_older)
    {
        return false;
    }
    auto const is_same_start = report.incarnation == last.incarnation;
    auto const reports = is_same_start ? held->second.reports + 1 : 1U;
    held->second = {report, now};
    held->second.reports = reports;
    return true;
}

auto peer_table::reports_since_start(std::string const& ip) const -> unsigned
{
    auto const held = peers_.find(ip);
    return held == peers_.end() ? 0 : held->second.reports;
}

auto peer_table::mesh_size() const -> std::size_t
{
    return is_zoned() ? known_in_zone_ + 1 : max_daemons();
}

auto peer_table::targets(time_point now, bool with_unresponsive) const
    -> std::vector<std::string>
{
    auto const zoned = is_zoned();
    auto listed = std::vector<std::string>{};
    for (auto const& [ip, zone] : known_)
    {
        auto const is_elsewhere =
            zoned && zone != own_zone_ && !zone.str().empty();
        if (is_elsewhere)
        {
            continue;
        }
        if (with_unresponsive || is_alive(ip, now))
        {
            listed.push_back(ip);
        }
    }
    return listed;
}

auto peer_table::take_overdue(time_point now) -> std::vector<std::string>
{
    auto overdue = std::vector<std::string>{};
    if (silence_limit_ >= timeout())
    {
        return overdue;
    }
    auto const limit = report_overdue_after(mesh_size());
    for (auto& [ip, each] : peers_)
    {
        auto const is_due = !is_elsewhere(each) && is_alive(each, now) &&
                            now - each.received_at > limit &&
                            each.unanswered < max_unanswered_questions &&
                            now - each.asked_at >= question_interval;
        if (!is_due)
        {
            continue;
        }
        each.asked_at = now;
        ++each.unanswered;
        overdue.push_back(ip);
        if (overdue.size() == max_questions_at_a_time)
        {
            break;
        }
    }
    return overdue;
}

auto peer_table::contacts(time_point now) -> std::vector<std::string>
{
    auto listed = std::vector<std::string>{};
    if (!is_zoned())
    {
        return listed;
    }
    for (auto const& zone : zones_of_others())
    {
        auto const held = contacts_.find(zone);
        auto const has_answered =
            held != contacts_.end() &&
            (is_alive(held->second.ip, now) ||
             now - held->second.first_asked_at <= timeout());
        if (!has_answered)
        {
            contacts_[zone] = choose_contact(zone, now);
        }
        listed.push_back(contacts_[zone].ip);
    }
    return listed;
}

auto peer_table::choose_contact(zone_name const& zone, time_point now)
    -> contact
{
    auto members = std::vector<std::string>{};
    auto alive_members = std::vector<std::string>{};
    for (auto const& [ip, each] : known_)
    {
        if (each == zone)
        {
            members.push_back(ip);
            if (is_alive(ip, now))
            {
                alive_members.push_back(ip);
            }
        }
    }
    // Any of them may be dead, also one that reported lately; the next choice
    // falls on another.
    auto const& candidates = alive_members.empty() ? members : alive_members;
    auto pick =
        std::uniform_int_distribution<std::size_t>{0, candidates.size() - 1};
    return {candidates[pick(generator_)], now};
}

auto peer_table::alive(time_point now) const -> std::vector<peer_report>
{
    auto listed = std::vector<peer_report>{};
    for (auto const& [ip, each] : peers_)
    {
        if (is_alive(each, now))
        {
            listed.push_back(each.last);
        }
    }
    return listed;
}

auto peer_table::permit_home_of(
    endpoint_id const& replica, time_point now) const -> permit_home
{
    auto home = permit_home{own_ip_, permit_share(now)};
    auto weight = rendezvous_weight(replica.str(), own_ip_);
    for (auto const& [ip, each] : peers_)
    {
        auto const is_member = is_permit_member(each) && is_alive(each, now);
        auto const peer_weight =
            is_member ? rendezvous_weight(replica.str(), ip) : 0;
        if (peer_weight > weight)
        {
            weight = peer_weight;
            home.ip = ip;
        }
    }
    return home;
}

auto peer_table::permit_share(time_point now) const -> double
{
    auto alive_members = 1.0;
    auto recent_members = 1.0;
    for (auto const& [ip, each] : peers_)
    {
        if (!is_permit_member(each))
        {
            continue;
        }
        alive_members += is_alive(each, now) ? 1 : 0;
        recent_members +=
            is_alive(each, now) || now - each.received_at <= partition_memory
                ? 1
                : 0;
    }
    auto const zones = is_zoned() ? zones_of_others().size() + 1 : 1;
    return alive_members / recent_members / static_cast<double>(zones);
}

auto peer_table::cold_permit_share(
    endpoint_id const& replica, time_point now) const -> double
{
    if (permit_home_of(replica, now).ip != own_ip_)
    {
        return 0;
    }
    auto const zones = is_zoned() ? zones_of_others().size() + 1 : 1;
    return reachable_share(now) / static_cast<double>(zones);
}

auto peer_table::reachable_share(time_point now) const -> double
{
    auto const alive_members =
        1 + std::count_if(peers_.begin(), peers_.end(), [&](auto const& each) {
            return is_permit_member(each.second) && is_alive(each.second, now);
        });
    return static_cast<double>(alive_members) /
           static_cast<double>(mesh_size());
}

auto peer_table::is_permit_member(peer const& which) const -> bool
{
    auto const issues_permits = which.last.version >= coldless_report_version;
    return issues_permits && (!is_zoned() || which.last.zone == own_zone_);
}

auto peer_table::zones_of_others() const -> std::set<zone_name>
{
    auto zones = std::set<zone_name>{};
    for (auto const& [ip, zone] : known_)
    {
        if (zone != own_zone_ && !zone.str().empty())
        {
            zones.insert(zone);
        }
    }
    return zones;
}

auto peer_table::timeout() const -> duration
{
    return peer_timeout(mesh_size());
}

auto peer_table::is_elsewhere(peer const& which) const -> bool
{
    return is_zoned() && which.last.zone != own_zone_;
}

auto peer_table::is_unresponsive(peer const& which, time_point now) const
    -> bool
{
    return which.unanswered >= max_unanswered_questions &&
           now - which.asked_at >= question_interval &&
           now - which.received_at > silence_limit_;
}

auto peer_table::is_alive(peer const& which, time_point now) const -> bool
{
    auto const limit =
        is_elsewhere(which) ? std::max(timeout(), contact_timeout) : timeout();
    return now - which.received_at <= limit && !is_unresponsive(which, now);
}

auto peer_table::is_alive(std::string const& ip, time_point now) const -> bool
{
    auto const found = peers_.find(ip);
    return found != peers_.end() && is_alive(found->second, now);
}

auto peer_table::targets_in(zone_name const& zone, time_point now) const
    -> std::vector<std::string>
{
    auto listed = std::vector<std::string>{};
    for (auto const& [ip, each] : peers_)
    {
        if (each.last.zone == zone && is_alive(each, now))
        {
            listed.push_back(ip);
        }
    }
    return listed;
}

auto peer_table::known_addresses() -> std::vector<known_address>
{
    auto all = all_known_addresses();
    if (!is_zoned())
    {
        all.resize(std::min(all.size(), max_addresses_in_report));
        return all;
    }
    auto listed = std::vector<known_address>{};
    std::sample(
        all.begin(), all.end(), std::back_inserter(listed),
        max_addresses_in_report, generator_);
    return listed;
}

auto peer_table::all_known_addresses() const -> std::vector<known_address>
{
    auto listed = std::vector<known_address>{};
    for (auto const& [ip, zone] : known_)
    {
        listed.push_back({ip, zone});
    }
    return listed;
}

auto peer_table::version_of(std::string const& ip) const
    -> std::optional<std::uint32_t>
{
    auto const found = peers_.find(ip);
    return found == peers_.end() ? std::nullopt
                                 : std::optional{found->second.last.version};
}

} // namespace sapphirereel::relay
