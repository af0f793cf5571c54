#include "sapphirereel/relay/leaving_replica_set.hpp"

namespace sapphirereel::relay {
namespace {

/// Time for which news is told.
constexpr auto told_for = duration{std::chrono::seconds{3}};

/// Time for which news is remembered: longer than any copy of the log lags.
constexpr auto remembered_for = duration{std::chrono::seconds{60}};

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
    auto told = std::vector<leaving_replica>{};
    for (auto const& [id, each] : entries_)
    {
        if (now - each.at <= told_for)
        {
            told.push_back({id, each.offset});
        }
    }
    return told;
}

auto leaving_replica_set::expire(time_point now) -> void
{
    std::erase_if(entries_, [&](auto const& each) {
        return now - each.second.at > remembered_for;
    });
}

} // namespace sapphirereel::relay
