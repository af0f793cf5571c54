#include "sapphirereel/relay/piece_sources.hpp"

#include <algorithm>
#include <vector>

namespace sapphirereel::relay {

auto piece_sources::add(std::string const& ip) -> void
{
    sources_.try_emplace(ip);
}

auto piece_sources::choose(time_point now, std::mt19937_64& random)
    -> std::optional<std::string>
{
    auto usable = std::vector<std::string>{};
    for (auto const& [ip, each] : sources_)
    {
        if (!each.is_asked && each.usable_from <= now)
        {
            usable.push_back(ip);
        }
    }
    if (usable.empty())
    {
        return std::nullopt;
    }
    auto draw =
        std::uniform_int_distribution<std::size_t>{0, usable.size() - 1};
    auto chosen = usable[draw(random)];
    sources_[chosen].is_asked = true;
    return chosen;
}

auto piece_sources::finish(std::string const& ip, time_point again) -> void
{
    sources_[ip] = {again, false};
}

auto piece_sources::next_at() const -> std::optional<time_point>
{
    auto next = std::optional<time_point>{};
    for (auto const& [ip, each] : sources_)
    {
        if (!each.is_asked)
        {
            next = std::min(next.value_or(each.usable_from), each.usable_from);
        }
    }
    return next;
}

} // namespace sapphirereel::relay
