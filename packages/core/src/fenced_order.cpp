#include "sapphirereel/core/fenced_order.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {

order_reconciler::order_reconciler(duration repeat)
    : repeat_(repeat)
{}

auto order_reconciler::set_desired(
    order_key const& key, std::optional<std::string> version) -> void
{
    auto& desired = desired_[key];
    if (desired.version != version)
    {
        desired = {std::move(version), std::nullopt, false};
    }
}

auto order_reconciler::observe(std::map<order_key, std::string> const& state)
    -> void
{
    for (auto& [key, desired] : desired_)
    {
        auto const found = state.find(key);
        auto const present = found != state.end();
        desired.reached = desired.version
                              ? present && found->second == *desired.version
                              : !present;
    }
}

auto order_reconciler::refused(log_offset newer_fence) -> void
{
    newest_fence_ = std::max(newest_fence_, newer_fence);
}

auto order_reconciler::due(std::optional<log_offset> fence, time_point now)
    -> std::vector<fenced_order>
{
    std::vector<fenced_order> orders;
    if (!fence || *fence < newest_fence_)
    {
        return orders;
    }
    for (auto& [key, desired] : desired_)
    {
        auto const retry_due = !desired.sent || now >= *desired.sent + repeat_;
        if (!desired.reached && retry_due)
        {
            desired.sent = now;
            orders.push_back({*fence, key, desired.version});
        }
    }
    return orders;
}

auto order_reconciler::satisfied() const -> bool
{
    return std::all_of(desired_.begin(), desired_.end(), [](auto const& entry) {
        return entry.second.reached;
    });
}

} // namespace sapphirereel
