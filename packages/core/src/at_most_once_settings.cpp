#include "sapphirereel/core/at_most_once_settings.hpp"

#include <string>

namespace sapphirereel {

namespace {

auto settings_finding(std::string field, std::string message, std::string mend)
    -> finding
{
    return finding{
        place{"at_most_once", 0, std::move(field)}, std::move(message),
        std::move(mend)};
}

} // namespace

auto check_at_most_once_settings(at_most_once_settings const& settings)
    -> findings
{
    findings found;
    auto const needed = settings.name_lifetime + settings.dispatch_window +
                        4 * settings.clock_skew;
    if (settings.retention < needed)
    {
        found.push_back(settings_finding(
            "retention",
            "the log drops claims while their names may still be used",
            "retention must be at least name_lifetime + dispatch_window + 4 x "
            "clock_skew"));
    }
    if (settings.dispatch_window <= duration::zero())
    {
        found.push_back(settings_finding(
            "dispatch_window", "no call could ever be sent",
            "give a time above zero"));
    }
    if (settings.batch_entries == 0)
    {
        found.push_back(settings_finding(
            "batch_entries", "an append would be empty",
            "give a number above zero"));
    }
    return found;
}

} // namespace sapphirereel
