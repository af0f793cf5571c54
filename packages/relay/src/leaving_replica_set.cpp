#include "sapphirereel/relay/leaving_replica_set.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Time for which an entry is included in reports.
constexpr auto report_time = duration{std::chrono::seconds{3}};

/// Time for which an entry is kept: longer than any copy of the log lags
/// behind and longer than a leaving replica runs on.
constexpr auto retention = duration{std::chrono::seconds{60}};

/// Whether two start times may be those of one start; 0 is unknown.
auto may_be_same_start(std::uint64_t one_ms, std::uint64_t other_ms) -> bool
{
    return one_ms == other_ms || one_ms == 0 || other_ms == 0;
}

} // namespace

auto leaving_replica_set::record_leaving(
    leaving_replica const& which, time_point now) -> bool
{
    auto const [held, is_new] =
        entries_.try_emplace(which.id, leaving_entry{which, now});
    if (is_new)
    {
        return true;
    }
    auto& known = held->second.replica;
    if (!may_be_same_start(which.started_at_ms, known.started_at_ms))
    {
        if (which.started_at_ms < known.started_at_ms)
        {
            return false;
        }
        held->second = {which, now};
        return true;
    }
    known.started_at_ms = std::max(known.started_at_ms, which.started_at_ms);
    known.renewal = std::max(known.renewal, which.renewal);
    auto const is_later = which.position > known.position ||
                          (which.announced && !known.announced);
    if (!is_later)
    {
        return false;
    }
    known.position = std::max(known.position, which.position);
    known.announced = known.announced || which.announced;
    held->second.at = now;
    return true;
}

auto leaving_replica_set::covers(
    endpoint_id const& id, replica_record const& record) const -> bool
{
    auto const found = entries_.find(id);
    if (found == entries_.end())
    {
        return false;
    }
    auto const& entry = found->second.replica;
    if (!may_be_same_start(record.started_at_ms, entry.started_at_ms))
    {
        return record.started_at_ms < entry.started_at_ms;
    }
    auto const tells_starts_apart =
        record.started_at_ms != 0 && entry.started_at_ms != 0;
    if (entry.announced && tells_starts_apart)
    {
        return true;
    }
    return record.position.era == entry.position.era
               ? record.position <= entry.position
               : record.renewal <= entry.renewal;
}

auto leaving_replica_set::entries_to_report(time_point now) const
    -> std::vector<leaving_replica>
{
    auto recent = std::vector<leaving_replica>{};
    for (auto const& [id, each] : entries_)
    {
        if (now - each.at <= report_time)
        {
            recent.push_back(each.replica);
        }
    }
    return recent;
}

auto leaving_replica_set::expire(time_point now) -> void
{
    std::erase_if(entries_, [&](auto const& each) {
        return now - each.second.at > retention;
    });
}

} // namespace sapphirereel::relay
