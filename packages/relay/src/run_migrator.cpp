#include "sapphirereel/relay/run_migrator.hpp"

#include <fmt/format.h>

namespace sapphirereel::relay {

auto migration_time(engine_traits const& traits, double tokens) -> duration
{
    if (traits.link_mbps <= 0)
    {
        return duration{0};
    }
    auto const bits = tokens * traits.bytes_per_token * 8;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(
            migration_time_margin * bits / traits.link_mbps));
}

auto may_return_to_source(duration since_notice, duration drain_limit) -> bool
{
    return since_notice + return_margin <= drain_limit;
}

} // namespace sapphirereel::relay
