#include "sapphirereel/core/address_answer.hpp"

#include "random_subset.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel {

namespace {

auto in_state(std::vector<member> const& members, member_state state)
    -> std::vector<member>
{
    std::vector<member> found;
    for (auto const& one : members)
    {
        if (one.state == state)
        {
            found.push_back(one);
        }
    }
    return found;
}

/// Appends the members that match to `chosen` until it has `limit` members, and
/// keeps the others in `from`.
template <class Fits>
auto move_matching(
    std::vector<member>& from,
    std::vector<member>& chosen,
    std::size_t limit,
    Fits matches) -> void
{
    std::vector<member> left;
    for (auto& one : from)
    {
        auto& target = chosen.size() < limit && matches(one) ? chosen : left;
        target.push_back(std::move(one));
    }
    from = std::move(left);
}

} // namespace

auto choose_addresses(
    std::vector<member> const& members,
    zone_name const& zone,
    region_name const& region,
    address_answer_settings const& settings,
    std::mt19937_64& random) -> address_answer
{
    auto usable = in_state(members, member_state::alive);
    if (usable.empty())
    {
        usable = in_state(members, member_state::suspect);
    }
    shuffle(usable, random);

    auto const same_zone = [&zone](member const& one) {
        return one.zone == zone;
    };
    auto const same_region = [&region](member const& one) {
        return one.region == region;
    };
    auto const any = [](member const&) {
        return true;
    };
    auto const other_zone_quota =
        std::min(settings.other_zones, settings.addresses);
    std::vector<member> chosen;
    move_matching(
        usable, chosen, settings.addresses - other_zone_quota, same_zone);
    auto const same_zone_count = chosen.size();
    auto const different_zone = [&same_zone, &same_region](member const& one) {
        return same_region(one) && !same_zone(one);
    };
    move_matching(
        usable, chosen, same_zone_count + other_zone_quota, different_zone);
    // Remaining places are filled from the region, then from any region.
    move_matching(usable, chosen, settings.addresses, same_region);
    move_matching(usable, chosen, settings.addresses, any);

    address_answer answer;
    answer.validity = settings.validity;
    for (auto const& one : chosen)
    {
        answer.addresses.push_back(one.caller_address);
    }
    return answer;
}

} // namespace sapphirereel
