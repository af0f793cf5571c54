#include "sapphirereel/relay/poison_part_tracker.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Failed calls to one start of a replica that are further apart than this
/// belong to different crashes: the record of its new start may come late.
constexpr auto max_crash_length = duration{std::chrono::seconds{1}};

/// Time for which the crashes of a replica's start are counted.
constexpr auto observation_lifetime = duration{std::chrono::minutes{1}};

auto detector(std::uint64_t seed) -> poison_part_detector
{
    auto settings = poison_part_settings{};
    settings.seed = seed;
    return poison_part_detector::create(settings).value();
}

} // namespace

poison_part_tracker::poison_part_tracker(std::uint64_t seed)
    : parts_(detector(seed))
{}

auto poison_part_tracker::record_replica_crash(
    replica const& which, std::vector<digest> const& parts, time_point now)
    -> bool
{
    if (parts.empty())
    {
        return false;
    }
    auto message = crash_message{name_crash(which, now), parts};
    if (!parts_.record_crash(message, now))
    {
        return false;
    }
    crashes_.add(std::move(message), now);
    return true;
}

/// Daemons that see one crash name it alike, but for the number if some of them
/// have missed an earlier one.
auto poison_part_tracker::name_crash(replica const& which, time_point now)
    -> digest
{
    auto const start =
        fmt::format("{}@{}", which.id.str(), which.started_at_ms);
    auto const [entry, is_first] =
        observed_.try_emplace(start, observed_crashes{1, now});
    auto& observed = entry->second;
    if (!is_first && now - observed.last_at > max_crash_length)
    {
        ++observed.count;
        observed.last_at = now;
    }
    return digest{fmt::format("{}#{}", start, observed.count)};
}

auto poison_part_tracker::record_output(
    std::vector<digest> const& parts, time_point now) -> bool
{
    auto const is_urgent =
        std::any_of(parts.begin(), parts.end(), [&](digest const& part) {
            return parts_.is_almost_due(part);
        });
    for (auto& message : parts_.record_output(parts, now))
    {
        cleared_.add(std::move(message), now);
    }
    return is_urgent;
}

auto poison_part_tracker::apply_report(
    part_reports const& reports, bool forwards, time_point now) -> part_news
{
    auto news = part_news::none;
    for (auto const& each : reports.crashes)
    {
        if (parts_.record_crash(each, now))
        {
            news = part_news::evidence;
            if (forwards)
            {
                crashes_.add(each, now);
            }
        }
    }
    for (auto const& each : reports.cleared)
    {
        if (parts_.apply(each, now))
        {
            news = part_news::evidence;
            if (forwards)
            {
                cleared_.add(each, now);
            }
        }
    }
    for (auto const& each : reports.rulings)
    {
        if (parts_.apply(each, now))
        {
            news = part_news::ruling;
        }
    }
    return news;
}

auto poison_part_tracker::find_poison(
    std::vector<digest> const& parts,
    std::optional<digest> const& on_trial) const -> std::optional<digest>
{
    if (!on_trial)
    {
        return parts_.find_poison(parts);
    }
    auto others = parts;
    std::erase(others, *on_trial);
    return parts_.find_poison(others);
}

auto poison_part_tracker::entries_to_report() const -> part_reports
{
    return {crashes_.messages(), cleared_.messages(), parts_.rulings()};
}

auto poison_part_tracker::update(time_point now) -> std::vector<digest>
{
    crashes_.expire(now);
    cleared_.expire(now);
    std::erase_if(observed_, [&](auto const& entry) {
        return now - entry.second.last_at > observation_lifetime;
    });
    return parts_.update(now);
}

} // namespace sapphirereel::relay
