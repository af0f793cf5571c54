#include "sapphirereel/relay/stated_limits.hpp"

#include "sapphirereel/relay/replica_table.hpp"

namespace sapphirereel::relay {
namespace {

/// Time for which the end of a limit is included in reports.
constexpr auto report_end_time = duration{std::chrono::seconds{10}};

/// Most entries in one report. Datagrams are limited in size; what is left out
/// is stated by the replica's own responses.
constexpr auto max_reported_entries = std::size_t{64};

/// Whether a response states less than is known.
auto states_less(stated_limits const& stated, stated_limits const& known)
    -> bool
{
    return (known.rate && !stated.rate) ||
           (known.rejections && !stated.rejections);
}

} // namespace

auto limit_registry::record_response(
    replica const& from,
    stated_limits const& stated,
    time_point sent_at,
    time_point now) -> bool
{
    auto const found = entries_.find(from.id);
    if (found == entries_.end())
    {
        if (stated.is_empty())
        {
            return false;
        }
        entries_[from.id] = {
            {from.id, from.started_at_ms, 1, stated}, now, now};
        return true;
    }
    auto& known = found->second;
    if (states_less(stated, known.entry.limits) && sent_at < known.stated_at)
    {
        return false;
    }
    if (!stated.is_empty())
    {
        known.stated_at = now;
    }
    if (stated == known.entry.limits)
    {
        return false;
    }
    known.entry.limits = stated;
    known.entry.started_at_ms = from.started_at_ms;
    ++known.entry.revision;
    known.changed_at = now;
    return true;
}

auto limit_registry::apply_report(
    std::vector<limit_entry> const& entries, time_point now) -> bool
{
    auto has_news = false;
    for (auto const& each : entries)
    {
        auto const [held, is_new] =
            entries_.try_emplace(each.id, known_entry{each, now, now});
        auto& known = held->second;
        auto const is_later =
            each.started_at_ms == known.entry.started_at_ms
                ? each.revision > known.entry.revision
                : each.started_at_ms > known.entry.started_at_ms;
        if (!is_new && !is_later)
        {
            continue;
        }
        known = {each, now, now};
        has_news = true;
    }
    return has_news;
}

auto limit_registry::entries_to_report(time_point now) const
    -> std::vector<limit_entry>
{
    auto reported = std::vector<limit_entry>{};
    for (auto const& [id, each] : entries_)
    {
        auto const is_current = !each.entry.limits.is_empty() ||
                                now - each.changed_at <= report_end_time;
        if (is_current && reported.size() < max_reported_entries)
        {
            reported.push_back(each.entry);
        }
    }
    return reported;
}

auto limit_registry::limits_of(endpoint_id const& id) const -> stated_limits
{
    auto const found = entries_.find(id);
    return found == entries_.end() ? stated_limits{}
                                   : found->second.entry.limits;
}

auto limit_registry::limited_replicas() const -> std::set<endpoint_id>
{
    auto limited = std::set<endpoint_id>{};
    for (auto const& [id, each] : entries_)
    {
        if (!each.entry.limits.is_empty())
        {
            limited.insert(id);
        }
    }
    return limited;
}

auto limit_registry::retain(
    std::map<endpoint_id, replica> const& listed, time_point now) -> void
{
    std::erase_if(entries_, [&](auto const& each) {
        auto const found = listed.find(each.first);
        auto const& known = each.second;
        auto const is_other_start =
            found != listed.end() &&
            found->second.started_at_ms > known.entry.started_at_ms &&
            known.entry.started_at_ms != 0;
        auto const is_over = known.entry.limits.is_empty() &&
                             now - known.changed_at > report_end_time;
        return found == listed.end() || is_other_start || is_over;
    });
}

} // namespace sapphirereel::relay
