#include "sapphirereel/relay/cold_replicas.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Most entries in one report; datagrams are limited in size.
constexpr auto max_reported_entries = std::size_t{16};

/// Difference between two statements of the same moment that is no news: the
/// delay of a message or a heartbeat. Without it daemons would extend each
/// other's times by the delays of their reports.
constexpr auto tolerance = duration{std::chrono::milliseconds{500}};

/// Longest time for which a replica is taken to be cold, as protection against
/// a value that makes no sense.
constexpr auto max_cold_time = duration{std::chrono::minutes{10}};

auto bounded(duration remaining) -> duration
{
    return std::clamp(remaining, duration{0}, max_cold_time);
}

} // namespace

auto cold_replicas::warm_times::latest() const -> time_point
{
    return std::max({by_record, by_statement, by_report, by_return});
}

auto cold_replicas::warm_times::unlisted() const -> time_point
{
    auto const other = std::max({by_statement, by_report, by_return});
    return other > by_record + tolerance ? other : time_point{};
}

auto cold_replicas::set_services(std::vector<service> const& services) -> void
{
    services_.clear();
    for (auto const& each : services)
    {
        if (each.cold_rate > 0)
        {
            services_[each.name] = {
                each.warmup, each.cold_rate, each.engine.has_value()};
        }
    }
}

auto cold_replicas::entry_of(replica const& which) -> warm_times&
{
    auto& entry = replicas_[which.id];
    auto const is_other_start =
        entry.started_at_ms != which.started_at_ms && entry.started_at_ms != 0;
    if (is_other_start)
    {
        entry = {};
    }
    entry.service = which.service;
    entry.started_at_ms = which.started_at_ms;
    return entry;
}

auto cold_replicas::record_listed(replica const& listed, time_point now) -> void
{
    if (listed.cold_remaining <= duration{0} && !replicas_.contains(listed.id))
    {
        return;
    }
    auto& entry = entry_of(listed);
    entry.by_record = now + bounded(listed.cold_remaining);
    entry.known_at = now;
}

auto cold_replicas::record_response(
    replica const& from, duration remaining, time_point sent_at, time_point now)
    -> bool
{
    auto const is_known = replicas_.contains(from.id);
    auto const has_limit = services_.contains(from.service);
    if (!has_limit || (remaining <= duration{0} && !is_known))
    {
        return false;
    }
    auto& entry = entry_of(from);
    auto const before = entry.latest();
    auto const stated = now + bounded(remaining);
    // A request that was sent before the last statement arrived may have been
    // answered before the replica became cold.
    auto const is_newest = sent_at >= entry.known_at;
    if (is_newest)
    {
        entry.by_record = std::min(entry.by_record, stated);
        entry.by_statement = stated;
        entry.known_at = now;
    }
    else
    {
        entry.by_statement = std::max(entry.by_statement, stated);
    }
    return stated > std::max(before, now) + tolerance;
}

auto cold_replicas::apply_report(
    std::vector<cold_entry> const& entries,
    std::map<endpoint_id, replica> const& listed,
    time_point now) -> bool
{
    auto has_news = false;
    for (auto const& each : entries)
    {
        auto const found = listed.find(each.id);
        auto const is_same_start =
            found != listed.end() &&
            found->second.started_at_ms == each.started_at_ms;
        if (!is_same_start || !services_.contains(found->second.service))
        {
            continue;
        }
        auto const until = now + bounded(each.remaining);
        auto const held = replicas_.find(each.id);
        auto const known =
            held == replicas_.end() ? now : held->second.latest();
        if (until <= now)
        {
            continue;
        }
        // Kept also if the replica's record says nearly the same: a response
        // may lower what the record says.
        auto& entry = entry_of(found->second);
        if (entry.by_report <= now || until > entry.by_report + tolerance)
        {
            entry.by_report = until;
        }
        if (until > std::max(known, now) + tolerance)
        {
            entry.known_at = now;
            has_news = true;
        }
    }
    return has_news;
}

auto cold_replicas::zones_returned(
    std::set<zone_name> const& zones,
    std::map<endpoint_id, replica> const& listed,
    time_point now) -> void
{
    for (auto const& [id, each] : listed)
    {
        auto const terms = services_.find(each.service);
        if (zones.contains(each.zone) && terms != services_.end())
        {
            entry_of(each).by_return = now + terms->second.warmup;
        }
    }
}

auto cold_replicas::rate_of_service(service_name const& name) const
    -> std::optional<double>
{
    auto const terms = services_.find(name);
    return terms == services_.end() ? std::nullopt
                                    : std::optional{terms->second.rate};
}

auto cold_replicas::rate_of(endpoint_id const& id, time_point now) const
    -> std::optional<double>
{
    auto const found = replicas_.find(id);
    auto const is_cold =
        found != replicas_.end() && now < found->second.latest();
    return is_cold ? rate_of_service(found->second.service) : std::nullopt;
}

auto cold_replicas::reports_placements(service_name const& name) const -> bool
{
    auto const terms = services_.find(name);
    return terms != services_.end() && terms->second.is_engine;
}

auto cold_replicas::cold_now(time_point now) const -> std::set<endpoint_id>
{
    auto cold = std::set<endpoint_id>{};
    for (auto const& [id, each] : replicas_)
    {
        if (now < each.latest() && services_.contains(each.service))
        {
            cold.insert(id);
        }
    }
    return cold;
}

auto cold_replicas::entries_to_report(time_point now) -> std::vector<cold_entry>
{
    auto all = std::vector<cold_entry>{};
    auto first = std::size_t{0};
    for (auto const& [id, each] : replicas_)
    {
        auto const until = each.unlisted();
        if (now >= until || !services_.contains(each.service))
        {
            continue;
        }
        first += id <= last_reported_ ? 1 : 0;
        all.push_back(
            {id, each.started_at_ms,
             std::chrono::ceil<std::chrono::milliseconds>(until - now)});
    }
    if (all.size() <= max_reported_entries)
    {
        return all;
    }
    std::rotate(
        all.begin(),
        all.begin() + static_cast<std::ptrdiff_t>(first % all.size()),
        all.end());
    all.resize(max_reported_entries);
    last_reported_ = all.back().id;
    return all;
}

auto cold_replicas::retain(
    std::map<endpoint_id, replica> const& listed, time_point now) -> void
{
    std::erase_if(replicas_, [&](auto const& each) {
        return !listed.contains(each.first) || now >= each.second.latest();
    });
}

} // namespace sapphirereel::relay
