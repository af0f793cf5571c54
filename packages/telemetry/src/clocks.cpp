#include "sapphirereel/telemetry/clocks.hpp"

#include <chrono>
#include <ctime>

namespace sapphirereel::telemetry {

auto monotonic_now() -> time_point
{
    auto raw = std::timespec{};
    clock_gettime(CLOCK_BOOTTIME, &raw);
    auto const since_boot = std::chrono::seconds{raw.tv_sec} +
                            std::chrono::nanoseconds{raw.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

auto civil_now() -> wall_time
{
    auto const since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return wall_time{
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
            .count()};
}

} // namespace sapphirereel::telemetry
