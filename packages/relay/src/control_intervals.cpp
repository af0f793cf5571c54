#include "sapphirereel/relay/control_intervals.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// Interval between periodic reports per daemon, and its bounds. Between the
/// bounds, a daemon receives 100 reports per second from all others together.
constexpr auto interval_per_daemon = duration{milliseconds{10}};
constexpr auto min_report_interval = duration{milliseconds{250}};
constexpr auto max_report_interval = duration{milliseconds{2'000}};

/// Delay from a change until it is reported per daemon, and its bounds.
constexpr auto delay_per_daemon = duration{std::chrono::microseconds{150}};
constexpr auto min_report_delay = duration{milliseconds{10}};
constexpr auto max_report_delay = duration{milliseconds{100}};

/// Report intervals without a report after which a daemon is considered dead,
/// and the minimum timeout. More than 3, so that the loss of two reports in a
/// row does not suffice.
constexpr auto peer_timeout_intervals = 3.2;
constexpr auto min_peer_timeout = duration{milliseconds{1'200}};

/// Report intervals after which a report is overdue, and the time that it may
/// be late beyond them.
constexpr auto overdue_intervals = 1.1;
constexpr auto report_tolerance = duration{milliseconds{60}};

/// Part of the shortest bound for which a daemon that answers no question may
/// be silent.
constexpr auto silent_part_of_bound = 0.65;

/// Pause between the reads of a secondary reader per daemon, and its bounds.
/// Between the bounds, all daemons together read once a second. A daemon whose
/// copies are old reads at once, without this pause.
constexpr auto read_pause_per_daemon = duration{milliseconds{1'000}};
constexpr auto min_secondary_read_pause = duration{milliseconds{9'000}};
constexpr auto max_secondary_read_pause = duration{milliseconds{150'000}};

auto scaled(
    duration per_daemon, std::size_t daemons, duration least, duration most)
    -> duration
{
    return std::clamp(
        per_daemon * static_cast<duration::rep>(daemons), least, most);
}

} // namespace

auto report_interval(std::size_t daemons) -> duration
{
    return scaled(
        interval_per_daemon, daemons, min_report_interval, max_report_interval);
}

auto report_delay(std::size_t daemons) -> duration
{
    return scaled(
        delay_per_daemon, daemons, min_report_delay, max_report_delay);
}

auto peer_timeout(std::size_t daemons) -> duration
{
    return std::max(
        min_peer_timeout,
        std::chrono::duration_cast<duration>(
            report_interval(daemons) * peer_timeout_intervals));
}

auto report_overdue_after(std::size_t daemons) -> duration
{
    return std::chrono::duration_cast<duration>(
               report_interval(daemons) * overdue_intervals) +
           report_tolerance;
}

auto silence_limit(duration shortest_bound) -> duration
{
    return std::max(
        min_peer_timeout, std::chrono::duration_cast<duration>(
                              shortest_bound * silent_part_of_bound));
}

auto secondary_read_pause(std::size_t daemons) -> duration
{
    return scaled(
        read_pause_per_daemon, daemons, min_secondary_read_pause,
        max_secondary_read_pause);
}

} // namespace sapphirereel::relay
