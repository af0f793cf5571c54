#include "sapphirereel/relay/leaving_news.hpp"

namespace sapphirereel::relay {
namespace {

/// Time for which news is told.
constexpr auto told_for = duration{std::chrono::seconds{3}};

/// Time for which news is remembered: longer than any copy of the log lags.
constexpr auto remembered_for = duration{std::chrono::seconds{60}};

} // namespace

auto leaving_news::note(leaving_replica const& which, time_point now) -> bool
{
    auto const [held, is_new] =
        noted_.try_emplace(which.id, noted{which.offset, now});
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

auto leaving_news::covers(
    endpoint_id const& id, std::uint64_t record_offset) const -> bool
{
    auto const found = noted_.find(id);
    return found != noted_.end() && found->second.offset >= record_offset;
}

auto leaving_news::to_tell(time_point now) const -> std::vector<leaving_replica>
{
    auto told = std::vector<leaving_replica>{};
    for (auto const& [id, each] : noted_)
    {
        if (now - each.at <= told_for)
        {
            told.push_back({id, each.offset});
        }
    }
    return told;
}

auto leaving_news::expire(time_point now) -> void
{
    std::erase_if(noted_, [&](auto const& each) {
        return now - each.second.at > remembered_for;
    });
}

} // namespace sapphirereel::relay
