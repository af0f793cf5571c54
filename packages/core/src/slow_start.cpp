#include "sapphirereel/core/slow_start.hpp"

#include <algorithm>

namespace sapphirereel {

auto slow_start_share(
    slow_start_settings const& settings, time_point returned, time_point now)
    -> double
{
    if (now >= returned + settings.window)
    {
        return 1;
    }
    auto const elapsed = std::max(duration{0}, now - returned);
    auto const part = static_cast<double>(elapsed.count()) /
                      static_cast<double>(settings.window.count());
    return std::max(settings.least_share, part);
}

} // namespace sapphirereel
