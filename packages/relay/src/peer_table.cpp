#include "sapphirereel/relay/peer_table.hpp"

#include "sapphirereel/relay/control_intervals.hpp"

#include <utility>

namespace sapphirereel::relay {
namespace {

/// Maximum number of addresses that one periodic report lists.
constexpr auto max_addresses_in_report = std::size_t{24};

} // namespace

peer_table::peer_table(
    std::string own_ip, std::vector<std::string> const& seeds)
    : own_ip_(std::move(own_ip))
    , known_(seeds.begin(), seeds.end())
{
    known_.erase(own_ip_);
}

auto peer_table::add(std::vector<std::string> const& seeds) -> void
{
    known_.insert(seeds.begin(), seeds.end());
    known_.erase(own_ip_);
}

auto peer_table::apply_report(peer_report const& report, time_point now) -> bool
{
    if (report.ip == own_ip_ || report.ip.empty())
    {
        return false;
    }
    for (auto const& each : report.known_addresses)
    {
        if (each != own_ip_)
        {
            known_.insert(each);
        }
    }
    known_.insert(report.ip);
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
    held->second = {report, now};
    return true;
}

auto peer_table::targets(time_point now, bool with_unresponsive) const
    -> std::vector<std::string>
{
    auto listed = std::vector<std::string>{};
    for (auto const& ip : known_)
    {
        auto const found = peers_.find(ip);
        auto const is_responsive =
            found != peers_.end() && is_alive(found->second, now);
        if (is_responsive || with_unresponsive)
        {
            listed.push_back(ip);
        }
    }
    return listed;
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

auto peer_table::is_alive(peer const& which, time_point now) const -> bool
{
    return now - which.received_at <= peer_timeout(max_daemons());
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

auto peer_table::known_addresses() const -> std::vector<std::string>
{
    auto listed = std::vector<std::string>{};
    for (auto const& ip : known_)
    {
        if (listed.size() == max_addresses_in_report)
        {
            break;
        }
        listed.push_back(ip);
    }
    return listed;
}

} // namespace sapphirereel::relay
