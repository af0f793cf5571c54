#include "sapphirereel/relay/reader_rank.hpp"

#include "sapphirereel/relay/report_pace.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// Daemons that read closely: the loss of all but one of them is borne without
/// a delay.
constexpr auto close_readers = std::size_t{3};

/// How long a close read waits for the next record: a link that went silent is
/// noticed only when the wait is over.
constexpr auto close_wait = duration{milliseconds{1'000}};

/// Time between two close reads for each daemon. Records that come meanwhile
/// are read together; the readers are out of step, so that all of them together
/// see news sooner.
constexpr auto close_pause_per_daemon = duration{milliseconds{2}};
constexpr auto least_close_pause = duration{milliseconds{10}};
constexpr auto most_close_pause = duration{milliseconds{180}};

/// A daemon and how many of its zone stand before it.
struct ranked_reader
{
    std::size_t rank_in_zone = 0;
    std::string ip;
    auto operator<=>(ranked_reader const&) const = default;
};

} // namespace

auto reads_closely(
    std::string const& own_ip,
    zone_name const& own_zone,
    std::vector<peer_report> const& alive) -> bool
{
    auto zones = std::map<zone_name, std::set<std::string>>{};
    zones[own_zone].insert(own_ip);
    for (auto const& peer : alive)
    {
        if (peer.is_in_touch)
        {
            zones[peer.zone].insert(peer.ip);
        }
    }
    auto ranked = std::vector<ranked_reader>{};
    for (auto const& [zone, members] : zones)
    {
        auto rank = std::size_t{0};
        for (auto const& ip : members)
        {
            ranked.push_back({rank++, ip});
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), close_readers));
    return std::any_of(
        ranked.begin(), ranked.end(),
        [&](ranked_reader const& each) { return each.ip == own_ip; });
}

auto follow_settings_of(bool closely, std::size_t daemons) -> follow_settings
{
    // From a distance it is read now and then, in case no peer tells.
    if (!closely)
    {
        return {duration{0}, distant_read_pause(daemons)};
    }
    auto const pause = std::clamp(
        close_pause_per_daemon * static_cast<duration::rep>(daemons),
        least_close_pause, most_close_pause);
    return {close_wait, pause};
}

} // namespace sapphirereel::relay
