#include "sapphirereel/relay/renewal_evidence.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace sapphirereel::relay {
namespace {

/// Intervals for which the log must have been out of service before an entry
/// can have expired.
constexpr auto intervals_until_expiry = 2;

/// Least number of renewals that shows anything: fewer may all have been made
/// after the return of the log.
constexpr auto min_renewals = std::size_t{4};

} // namespace

auto median_renewals(std::vector<keyed_record> const& records) -> std::size_t
{
    auto renewals = std::map<std::string, std::size_t>{};
    for (auto const& each : records)
    {
        if (each.value)
        {
            ++renewals[each.key];
        }
        else
        {
            renewals.erase(each.key);
        }
    }
    if (renewals.empty())
    {
        return 0;
    }
    auto counts = std::vector<std::size_t>{};
    for (auto const& [key, count] : renewals)
    {
        counts.push_back(count);
    }
    auto const middle =
        counts.begin() + static_cast<std::ptrdiff_t>((counts.size() - 1) / 2);
    std::nth_element(counts.begin(), middle, counts.end());
    return *middle;
}

auto were_renewed_throughout(
    std::vector<keyed_record> const& records, duration time, duration interval)
    -> bool
{
    auto const renewals = median_renewals(records);
    if (renewals < min_renewals)
    {
        return false;
    }
    // Between renewals that follow each other the log was in service.
    auto const in_service = interval * static_cast<duration::rep>(renewals - 1);
    return time - in_service < interval * intervals_until_expiry;
}

} // namespace sapphirereel::relay
