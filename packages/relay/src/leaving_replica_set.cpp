#include "sapphirereel/relay/leaving_replica_set.hpp"

namespace sapphirereel::relay {
namespace {

/// Time for which an entry is included in reports.
constexpr auto report_time = duration{std::chrono::seconds{3}};

/// Time for which an entry is kept: longer than any copy of the log lags
/// behind.
constexpr auto retention = duration{std::chrono::seconds{60}};

} // namespace

auto leaving_replica_set::record_leaving(
    leaving_replica const& which, time_point now) -> bool
{
    auto const [held, is_new] =
        entries_.try_emplace(which.id, leaving_entry{which.offset, now});
    if (is_new)
    {
        return true;
    }
    if (which.offset <= held->second.offset)
    {
        return false;
    }
    held->second = {which.offset, now};
    return true;
}

auto leaving_replica_set::covers(
    endpoint_id const& id, std::uint64_t record_offset) const -> bool
{
    auto const found = entries_.find(id);
    return found != entries_.end() && found->second.offset >= record_offset;
}

auto leaving_replica_set::entries_to_report(time_point now) const
    -> std::vector<leaving_replica>
{
    auto recent = std::vector<leaving_replica>{};
    for (auto const& [id, each] : entries_)
    {
        if (now - each.at <= report_time)
        {
            recent.push_back({id, each.offset});
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
