#include "sapphirereel/relay/replica_table.hpp"

#include "replica_eligibility.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Cooldown of a replica after a first failure; doubles with each further
/// failure in a row.
constexpr auto first_cooldown = duration{std::chrono::milliseconds{500}};

/// Most doublings of the cooldown.
constexpr auto max_doublings = std::uint32_t{4};

/// Requests that may be sent to a replica during its backoff, for runs that it
/// executes already.
constexpr auto max_sent_during_backoff = std::uint32_t{2};

auto by_id(std::vector<replica> const& listed) -> std::map<endpoint_id, replica>
{
    auto replicas = std::map<endpoint_id, replica>{};
    for (auto const& each : listed)
    {
        replicas.emplace(each.id, each);
    }
    return replicas;
}

/// Replicas that are no longer listed or are newly marked as leaving.
auto newly_leaving(
    std::map<endpoint_id, replica> const& before,
    std::map<endpoint_id, replica> const& after) -> std::vector<replica>
{
    auto leaving = std::vector<replica>{};
    for (auto const& [id, each] : before)
    {
        auto const found = after.find(id);
        auto const leaves =
            found == after.end() || (found->second.leaving && !each.leaving);
        if (leaves)
        {
            leaving.push_back(each);
        }
    }
    return leaving;
}

/// Drops what is known of replicas that are not listed.
template <class Value>
auto retain_listed(
    std::map<endpoint_id, Value>& known,
    std::map<endpoint_id, replica> const& listed) -> void
{
    std::erase_if(
        known, [&](auto const& each) { return !listed.contains(each.first); });
}

} // namespace

replica_table::replica_table(zone_name zone, std::uint64_t seed)
    : zone_(std::move(zone))
    , generator_(seed)
{}

auto replica_table::set_replicas(std::vector<replica> const& listed)
    -> std::vector<replica>
{
    auto next = by_id(listed);
    auto leaving = newly_leaving(replicas_, next);
    replicas_ = std::move(next);
    retain_listed(failures_, replicas_);
    retain_listed(reported_loads_, replicas_);
    retain_listed(backoffs_, replicas_);
    pace_.retain(replicas_);
    return leaving;
}

auto replica_table::find(endpoint_id const& id) const -> replica const*
{
    auto const found = replicas_.find(id);
    return found == replicas_.end() ? nullptr : &found->second;
}

auto replica_table::set_evacuated(std::set<zone_name> zones) -> void
{
    evacuated_ = std::move(zones);
}

auto replica_table::is_evacuated(replica const& which) const -> bool
{
    return evacuated_.contains(which.zone);
}

auto replica_table::has_only_evacuated(service_name const& of) const -> bool
{
    if (evacuated_.empty())
    {
        return false;
    }
    auto has_evacuated = false;
    for (auto const& [id, each] : replicas_)
    {
        if (each.service != of || each.leaving)
        {
            continue;
        }
        if (!is_evacuated(each))
        {
            return false;
        }
        has_evacuated = true;
    }
    return has_evacuated;
}

auto replica_table::set_backoff(
    endpoint_id const& id, duration length, time_point now) -> void
{
    if (!replicas_.contains(id))
    {
        return;
    }
    if (!is_backing_off(id, now))
    {
        backoffs_[id] = {now + length, 0};
        return;
    }
    auto& held = backoffs_[id];
    held.until = std::max(held.until, now + length);
}

auto replica_table::is_backing_off(endpoint_id const& id, time_point now) const
    -> bool
{
    auto const found = backoffs_.find(id);
    return found != backoffs_.end() && now < found->second.until;
}

auto replica_table::take_backoff_allowance(
    endpoint_id const& id, time_point now) -> bool
{
    if (!is_backing_off(id, now))
    {
        backoffs_.erase(id);
        return true;
    }
    return backoffs_[id].sent++ < max_sent_during_backoff;
}

auto replica_table::time_until_accepted(
    service_name const& of, time_point now) const -> std::optional<duration>
{
    auto earliest = std::optional<time_point>{};
    for (auto const& [id, each] : replicas_)
    {
        if (!is_eligible(each, of, *this))
        {
            continue;
        }
        if (!is_backing_off(id, now))
        {
            return std::nullopt;
        }
        auto const until = backoffs_.at(id).until;
        earliest = earliest ? std::min(*earliest, until) : until;
    }
    return earliest ? std::optional{*earliest - now} : std::nullopt;
}

auto replica_table::failed(endpoint_id const& id, time_point now) -> void
{
    auto& count = failures_[id];
    auto const doublings = std::min(count.consecutive, max_doublings);
    ++count.consecutive;
    count.cooldown_until = now + first_cooldown * (1U << doublings);
}

auto replica_table::succeeded(endpoint_id const& id) -> void
{
    failures_.erase(id);
}

auto replica_table::is_cooling_down(endpoint_id const& id, time_point now) const
    -> bool
{
    auto const failure = failures_.find(id);
    return failure != failures_.end() && now < failure->second.cooldown_until;
}

} // namespace sapphirereel::relay
