#include "sapphirereel/relay/address_selection.hpp"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace sapphirereel::relay {
namespace {

auto hash_of(std::string const& text) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

auto select_addresses(
    std::vector<ready_daemon> ready, zone_name const& zone, fleet_view view)
    -> std::vector<std::string>
{
    auto const is_near = [&](ready_daemon const& each) {
        return each.zone == zone;
    };
    auto const near = std::count_if(ready.begin(), ready.end(), is_near);
    auto const is_zone_enough =
        view == fleet_view::own_zone &&
        static_cast<std::size_t>(near) >= min_daemons_of_one_zone;
    if (is_zone_enough)
    {
        std::erase_if(ready, [&](auto const& each) { return !is_near(each); });
    }
    // Sorted by a hash, so that a list that is cut leaves out no zone and no
    // part of one.
    std::sort(
        ready.begin(), ready.end(),
        [&](ready_daemon const& a, ready_daemon const& b) {
            return std::tuple{!is_near(a), hash_of(a.caller_address)} <
                   std::tuple{!is_near(b), hash_of(b.caller_address)};
        });
    ready.resize(std::min(ready.size(), max_listed_addresses));
    auto addresses = std::vector<std::string>{};
    for (auto& each : ready)
    {
        addresses.push_back(std::move(each.caller_address));
    }
    return addresses;
}

} // namespace sapphirereel::relay
