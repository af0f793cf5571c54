#include "sapphirereel/relay/report_pace.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

using std::chrono::milliseconds;

/// Time between reports for each daemon that receives them: 100 a second.
constexpr auto interval_per_daemon = duration{milliseconds{10}};
constexpr auto least_interval = duration{milliseconds{250}};
constexpr auto most_interval = duration{milliseconds{2'000}};

constexpr auto delay_per_daemon = duration{std::chrono::microseconds{150}};
constexpr auto least_delay = duration{milliseconds{10}};
constexpr auto most_delay = duration{milliseconds{100}};

/// Reports that may be lost in a row before a daemon counts as dead.
constexpr auto missed_reports = 3.2;
constexpr auto least_alive_limit = duration{milliseconds{1'200}};

/// Time between distant reads for each daemon: 3 a second of all together.
constexpr auto read_pause_per_daemon = duration{milliseconds{333}};
constexpr auto least_read_pause = duration{milliseconds{3'000}};
constexpr auto most_read_pause = duration{milliseconds{30'000}};

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
    return scaled(interval_per_daemon, daemons, least_interval, most_interval);
}

auto report_delay(std::size_t daemons) -> duration
{
    return scaled(delay_per_daemon, daemons, least_delay, most_delay);
}

auto alive_limit(std::size_t daemons) -> duration
{
    return std::max(
        least_alive_limit, std::chrono::duration_cast<duration>(
                               report_interval(daemons) * missed_reports));
}

auto distant_read_pause(std::size_t daemons) -> duration
{
    return scaled(
        read_pause_per_daemon, daemons, least_read_pause, most_read_pause);
}

} // namespace sapphirereel::relay
