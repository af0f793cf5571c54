#include "sapphirereel/core/outlier_ejection.hpp"

#include <algorithm>

namespace sapphirereel {
namespace {

/// Ejections after which the ejection time doubles no further.
constexpr std::uint32_t most_doublings = 16;
/// Largest random addition to an ejection time, as a share of it, so that
/// replicas ejected together don't return together.
constexpr double ejection_jitter = 0.5;

} // namespace

auto outlier_ejection::create(
    outlier_settings const& settings, std::uint64_t seed)
    -> result<outlier_ejection>
{
    auto wrong = findings{};
    auto const require = [&wrong](bool holds, char const* field) {
        if (!holds)
        {
            wrong.push_back(
                {.where = {.source = "outlier", .field = field},
                 .message = std::string(field) + " is not positive",
                 .mend = "give a value above 0"});
        }
    };
    require(settings.failures > 0, "failures");
    require(settings.first_ejection > duration{0}, "first_ejection");
    require(settings.most_ejected_divisor > 0, "most_ejected_divisor");
    if (!wrong.empty())
    {
        return tl::unexpected(std::move(wrong));
    }
    return outlier_ejection{settings, seed};
}

auto outlier_ejection::set_replicas(std::set<endpoint_id> const& replicas)
    -> void
{
    std::erase_if(replicas_, [&replicas](auto const& entry) {
        return !replicas.contains(entry.first);
    });
    for (auto const& replica : replicas)
    {
        replicas_.try_emplace(replica);
    }
}

auto outlier_ejection::succeeded(endpoint_id const& replica, time_point now)
    -> void
{
    auto const found = replicas_.find(replica);
    if (found == replicas_.end())
    {
        return;
    }
    auto& health = found->second;
    health.consecutive_failures = 0;
    auto const served_long =
        health.returns_at &&
        now >= *health.returns_at + settings_.forgotten_after;
    if (served_long)
    {
        health = {};
    }
}

auto outlier_ejection::failed(endpoint_id const& replica, time_point now)
    -> void
{
    auto const found = replicas_.find(replica);
    if (found == replicas_.end() || ejected(replica, now))
    {
        return;
    }
    auto& health = found->second;
    ++health.consecutive_failures;
    auto const allowed = replicas_.size() / settings_.most_ejected_divisor;
    auto const due = health.consecutive_failures >= settings_.failures;
    if (due && ejected_count(now) < allowed)
    {
        eject(health, now);
    }
}

auto outlier_ejection::ejected(endpoint_id const& replica, time_point now) const
    -> bool
{
    auto const found = replicas_.find(replica);
    return found != replicas_.end() && found->second.returns_at &&
           now < *found->second.returns_at;
}

auto outlier_ejection::share(endpoint_id const& replica, time_point now) const
    -> double
{
    auto const found = replicas_.find(replica);
    if (found == replicas_.end() || !found->second.returns_at)
    {
        return 1;
    }
    auto const returns_at = *found->second.returns_at;
    return now < returns_at
               ? 0
               : slow_start_share(settings_.slow_start, returns_at, now);
}

auto outlier_ejection::ejected_count(time_point now) const -> std::size_t
{
    auto const count = std::count_if(
        replicas_.begin(), replicas_.end(),
        [this, now](auto const& entry) { return ejected(entry.first, now); });
    return static_cast<std::size_t>(count);
}

auto outlier_ejection::eject(replica_health& health, time_point now) -> void
{
    auto const doublings = std::min(health.ejections, most_doublings);
    auto const ejection_time = std::min(
        settings_.first_ejection * (1U << doublings),
        settings_.longest_ejection);
    auto spread = std::uniform_real_distribution<double>(0, ejection_jitter);
    auto const added = std::chrono::duration_cast<duration>(
        ejection_time * spread(generator_));
    health.returns_at = now + ejection_time + added;
    ++health.ejections;
    health.consecutive_failures = 0;
}

} // namespace sapphirereel
