#include "sapphirereel/relay/log_reader_selection.hpp"

#include "sapphirereel/relay/control_intervals.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// Number of primary readers: as long as one of them is left, the loss of the
/// others delays no change.
constexpr auto primary_log_readers = std::size_t{3};

/// Part of the shortest bound that a primary read may wait: a link that stops
/// carrying data is detected only after this time.
constexpr auto read_wait_divisor = 3;

/// Pause between two reads of a primary reader per daemon of the cluster, and
/// its bounds. Records that arrive during a pause are read together. The
/// readers' pauses are jittered, so that the first of them sees a change sooner
/// than one reader would.
constexpr auto primary_pause_per_daemon = duration{milliseconds{2}};
constexpr auto min_primary_pause = duration{milliseconds{10}};
constexpr auto max_primary_pause = duration{milliseconds{200}};

/// The same of a reader that no other daemon follows. If a third of 300 daemons
/// are cut off from each other, they read the log 100 times a second.
constexpr auto lone_pause_per_daemon = duration{milliseconds{4}};
constexpr auto max_lone_pause = duration{milliseconds{1'000}};

/// A group of daemons of which the first reads the log for the others.
struct reader_group
{
    bool is_cut_off = false;
    zone_name zone;
    auto operator<=>(reader_group const&) const = default;
};

/// A daemon and the number of daemons of its group that are ordered before it.
struct ranked_reader
{
    bool is_cut_off = false;
    std::size_t rank = 0;
    zone_name zone;
    std::string ip;
    auto operator<=>(ranked_reader const&) const = default;
};

} // namespace

auto is_primary_log_reader(
    std::string const& own_ip,
    zone_name const& own_zone,
    std::vector<peer_report> const& alive,
    bool reaches_log) -> bool
{
    auto groups = std::map<reader_group, std::set<std::string>>{};
    groups[{!reaches_log, own_zone}].insert(own_ip);
    for (auto const& peer : alive)
    {
        groups[{!peer.is_log_reachable, peer.zone}].insert(peer.ip);
    }
    auto ranked = std::vector<ranked_reader>{};
    for (auto const& [group, members] : groups)
    {
        auto rank = std::size_t{0};
        for (auto const& ip : members)
        {
            ranked.push_back({group.is_cut_off, rank++, group.zone, ip});
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), primary_log_readers));
    return std::any_of(
        ranked.begin(), ranked.end(),
        [&](ranked_reader const& each) { return each.ip == own_ip; });
}

auto follow_settings_for(
    bool is_primary,
    std::size_t daemons,
    bool is_alone,
    duration shortest_bound) -> follow_settings
{
    // Secondary readers poll as a fallback in case no peer reports a change.
    if (!is_primary)
    {
        return {duration{0}, secondary_read_pause(daemons), true};
    }
    auto const per_daemon =
        is_alone ? lone_pause_per_daemon : primary_pause_per_daemon;
    auto const pause = std::clamp(
        per_daemon * static_cast<duration::rep>(daemons), min_primary_pause,
        is_alone ? max_lone_pause : max_primary_pause);
    auto const wait =
        std::min(max_primary_read_wait, shortest_bound / read_wait_divisor);
    return {wait, pause};
}

} // namespace sapphirereel::relay
