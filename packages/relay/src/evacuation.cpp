#include "sapphirereel/relay/evacuation.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirereel::relay {

auto evacuation_change::between(
    std::set<zone_name> const& before, std::set<zone_name> const& after)
    -> evacuation_change
{
    auto change = evacuation_change{};
    std::set_difference(
        after.begin(), after.end(), before.begin(), before.end(),
        std::inserter(change.begun, change.begun.end()));
    std::set_difference(
        before.begin(), before.end(), after.begin(), after.end(),
        std::inserter(change.ended, change.ended.end()));
    return change;
}

auto names_of(std::set<zone_name> const& zones) -> std::string
{
    auto names = std::string{};
    for (auto const& each : zones)
    {
        names += (names.empty() ? "" : ",") + each.str();
    }
    return names;
}

} // namespace sapphirereel::relay
