#include "sapphirereel/daemon/log_repeat_limit.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::daemon {

log_repeat_limit::log_repeat_limit(duration interval)
    : interval_(interval)
{}

auto log_repeat_limit::admit(log_fault const& fault, time_point now)
    -> std::optional<std::uint64_t>
{
    auto const found = records_.find(fault);
    if (found == records_.end())
    {
        if (records_.size() >= max_faults)
        {
            forget_oldest();
        }
        records_.emplace(fault, record{now, 0});
        return 0;
    }
    auto& known = found->second;
    if (now - known.written < interval_)
    {
        ++known.suppressed;
        return std::nullopt;
    }
    known.written = now;
    return std::exchange(known.suppressed, 0);
}

auto log_repeat_limit::forget_oldest() -> void
{
    auto const older = [](auto const& a, auto const& b) {
        return a.second.written < b.second.written;
    };
    records_.erase(std::min_element(records_.begin(), records_.end(), older));
}

} // namespace sapphirereel::daemon
