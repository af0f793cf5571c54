#include "sapphirereel/core/poison_request.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirereel {
namespace {

/// Keeps the entries of the least age, sorted by it.
template <class Entry>
auto keep_youngest(std::vector<Entry>& entries, std::size_t most) -> void
{
    std::stable_sort(
        entries.begin(), entries.end(),
        [](Entry const& a, Entry const& b) { return a.age < b.age; });
    entries.resize(std::min(entries.size(), most));
}

} // namespace

auto poison_request_detector::create(poison_request_settings const& settings)
    -> result<poison_request_detector>
{
    auto wrong = findings{};
    if (settings.deaths < 2)
    {
        wrong.push_back(
            {.where = {.source = "lethal", .field = "deaths"},
             .message = "a single crash does not identify a poison request",
             .mend = "give 2 or more"});
    }
    if (settings.most_deaths == 0)
    {
        wrong.push_back(
            {.where = {.source = "lethal", .field = "most_deaths"},
             .message = "no crash would be recorded",
             .mend = "give a number above 0"});
    }
    if (!wrong.empty())
    {
        return tl::unexpected(std::move(wrong));
    }
    return poison_request_detector{settings};
}

auto poison_request_detector::record_crash(
    crash_message const& message, time_point now) -> bool
{
    auto const [entry, is_new] =
        crashes_.try_emplace(message.death, crash_record{{}, {}, now});
    auto& crash = entry->second;
    auto const known = crash.suspects.size();
    crash.suspects.insert(message.in_flight.begin(), message.in_flight.end());
    auto const adds_information = is_new || crash.suspects.size() > known;
    evict_oldest();
    return adds_information;
}

auto poison_request_detector::cleared(
    cleared_message const& message, time_point now) -> void
{
    for (auto const& name : message.deaths)
    {
        // The crash itself may be reported later, so the clearance is kept.
        auto const entry =
            crashes_.try_emplace(name, crash_record{{}, {}, now});
        entry.first->second.cleared.insert(message.content);
    }
    evict_oldest();
}

auto poison_request_detector::record_completion(
    digest const& content, time_point now) -> std::optional<cleared_message>
{
    auto message = cleared_message{content, crashes_of(content)};
    if (message.deaths.empty())
    {
        return std::nullopt;
    }
    cleared(message, now);
    return message;
}

auto poison_request_detector::verdict(digest const& content) const
    -> poison_verdict
{
    auto const crashes = crashes_of(content);
    if (crashes.size() < std::max<std::size_t>(settings_.isolation_deaths, 1))
    {
        return poison_verdict::clear;
    }
    auto const proven = crashes.size() >= settings_.deaths &&
                        is_only_common_suspect(content, crashes);
    return proven ? poison_verdict::poison : poison_verdict::isolate;
}

auto poison_request_detector::expire(time_point now) -> void
{
    std::erase_if(crashes_, [&](auto const& entry) {
        return now - entry.second.at > settings_.memory;
    });
}

auto poison_request_detector::crashes() const -> std::vector<crash_message>
{
    auto all = std::vector<crash_message>{};
    for (auto const& [name, crash] : crashes_)
    {
        all.push_back({name, suspects_of(crash)});
    }
    return all;
}

auto poison_request_detector::suspects_of(crash_record const& crash)
    -> std::vector<digest>
{
    auto suspects = std::vector<digest>{};
    std::set_difference(
        crash.suspects.begin(), crash.suspects.end(), crash.cleared.begin(),
        crash.cleared.end(), std::back_inserter(suspects));
    return suspects;
}

auto poison_request_detector::memory(time_point now, std::size_t most) const
    -> crash_memory
{
    return {remembered_crashes(now, most), remembered_clearances(now, most)};
}

auto poison_request_detector::has_poison(
    std::vector<digest> const& contents) const -> bool
{
    return std::any_of(
        contents.begin(), contents.end(), [this](digest const& each) {
            return verdict(each) == poison_verdict::poison;
        });
}

auto poison_request_detector::remembered_crashes(
    time_point now, std::size_t most) const -> std::vector<remembered_crash>
{
    auto poison = std::vector<remembered_crash>{};
    auto others = std::vector<remembered_crash>{};
    for (auto const& [name, crash] : crashes_)
    {
        auto suspects = suspects_of(crash);
        if (suspects.empty())
        {
            continue;
        }
        auto& list = has_poison(suspects) ? poison : others;
        list.push_back({{name, std::move(suspects)}, now - crash.at});
    }
    keep_youngest(poison, most);
    keep_youngest(others, most - poison.size());
    std::move(others.begin(), others.end(), std::back_inserter(poison));
    return poison;
}

auto poison_request_detector::remembered_clearances(
    time_point now, std::size_t most) const -> std::vector<remembered_clearance>
{
    auto found = std::map<digest, remembered_clearance>{};
    for (auto const& [name, crash] : crashes_)
    {
        auto const age = now - crash.at;
        for (auto const& content : crash.cleared)
        {
            auto& each =
                found.try_emplace(content, remembered_clearance{{}, age})
                    .first->second;
            each.clearance.content = content;
            each.clearance.deaths.push_back(name);
            each.age = std::min(each.age, age);
        }
    }
    auto listed = std::vector<remembered_clearance>{};
    for (auto& [content, each] : found)
    {
        listed.push_back(std::move(each));
    }
    keep_youngest(listed, most);
    return listed;
}

auto poison_request_detector::learn(crash_memory const& told, time_point now)
    -> bool
{
    auto has_news = false;
    for (auto const& each : told.crashes)
    {
        if (each.age < settings_.memory)
        {
            has_news = record_crash(each.crash, now - each.age) || has_news;
        }
    }
    for (auto const& each : told.clearances)
    {
        if (each.age < settings_.memory)
        {
            cleared(each.clearance, now - each.age);
        }
    }
    return has_news;
}

auto poison_request_detector::crashes_of(digest const& content) const
    -> std::vector<digest>
{
    auto names = std::vector<digest>{};
    for (auto const& [name, crash] : crashes_)
    {
        if (crash.suspects.contains(content) &&
            !crash.cleared.contains(content))
        {
            names.push_back(name);
        }
    }
    return names;
}

auto poison_request_detector::is_only_common_suspect(
    digest const& content, std::vector<digest> const& crashes) const -> bool
{
    auto const& first = crashes_.at(crashes.front()).suspects;
    auto const at_all = [&](digest const& other) {
        return std::all_of(
            crashes.begin(), crashes.end(), [&](digest const& name) {
                auto const& crash = crashes_.at(name);
                return crash.suspects.contains(other) &&
                       !crash.cleared.contains(other);
            });
    };
    return std::none_of(first.begin(), first.end(), [&](digest const& other) {
        return other != content && at_all(other);
    });
}

auto poison_request_detector::evict_oldest() -> void
{
    while (crashes_.size() > settings_.most_deaths)
    {
        crashes_.erase(std::min_element(
            crashes_.begin(), crashes_.end(), [](auto const& a, auto const& b) {
                return a.second.at < b.second.at;
            }));
    }
}

} // namespace sapphirereel
