#include "sapphirereel/relay/peer_table.hpp"

#include "sapphirereel/relay/report_pace.hpp"

#include <utility>

namespace sapphirereel::relay {
namespace {

/// Most addresses that one report tells of.
constexpr auto most_told = std::size_t{24};

} // namespace

peer_table::peer_table(
    std::string own_ip, std::vector<std::string> const& seeds)
    : own_ip_(std::move(own_ip))
    , seen_(seeds.begin(), seeds.end())
{
    seen_.erase(own_ip_);
}

auto peer_table::add(std::vector<std::string> const& seeds) -> void
{
    seen_.insert(seeds.begin(), seeds.end());
    seen_.erase(own_ip_);
}

auto peer_table::heard(peer_report const& report, time_point now) -> bool
{
    if (report.ip == own_ip_ || report.ip.empty())
    {
        return false;
    }
    for (auto const& each : report.known)
    {
        if (each != own_ip_)
        {
            seen_.insert(each);
        }
    }
    seen_.insert(report.ip);
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

auto peer_table::targets(time_point now, bool with_silent) const
    -> std::vector<std::string>
{
    auto listed = std::vector<std::string>{};
    for (auto const& ip : seen_)
    {
        auto const found = peers_.find(ip);
        auto const answers =
            found != peers_.end() && is_alive(found->second, now);
        if (answers || with_silent)
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
    return now - which.heard_at <= alive_limit(most_daemons());
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

auto peer_table::known() const -> std::vector<std::string>
{
    auto listed = std::vector<std::string>{};
    for (auto const& ip : seen_)
    {
        if (listed.size() == most_told)
        {
            break;
        }
        listed.push_back(ip);
    }
    return listed;
}

} // namespace sapphirereel::relay
