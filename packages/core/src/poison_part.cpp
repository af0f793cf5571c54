#include "sapphirereel/core/poison_part.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace sapphirereel {
namespace {

/// Rulings that are sent with each report.
constexpr auto most_rulings = std::size_t{16};

/// Time between two searches for expired records.
constexpr auto expiry_interval = duration{std::chrono::seconds{1}};

/// Doublings of the trial interval above which it is at its maximum.
constexpr auto most_doublings = std::uint32_t{16};

} // namespace

auto poison_part_detector::create(poison_part_settings const& settings)
    -> result<poison_part_detector>
{
    auto wrong = findings{};
    auto const check = [&](bool holds, std::string field, std::string message,
                           std::string mend) {
        if (!holds)
        {
            wrong.push_back(
                {.where = {.source = "poison_part", .field = std::move(field)},
                 .message = std::move(message),
                 .mend = std::move(mend)});
        }
    };
    check(
        settings.crashes >= 2 &&
            settings.crashes <= settings.crashes_of_proven_part,
        "crashes", "is 1, or more than crashes_of_proven_part",
        "give 2 or more, and no more than crashes_of_proven_part");
    check(
        settings.most_parts > 0, "most_parts", "no part would be recorded",
        "give a number above 0");
    if (!wrong.empty())
    {
        return tl::unexpected(std::move(wrong));
    }
    return poison_part_detector{settings};
}

auto poison_part_detector::record_request(
    std::vector<digest> const& parts, time_point now) -> void
{
    for (auto const& part : parts)
    {
        ++record_of(part, now).requests;
    }
    evict_oldest();
}

auto poison_part_detector::record_crash(
    crash_message const& message, time_point now) -> bool
{
    if (find_poison(message.in_flight))
    {
        // The known part explains the crash; the others are no suspects.
        return record_failed_trial(message, now);
    }
    auto is_new = false;
    for (auto const& part : message.in_flight)
    {
        if (note_crash(message.death, part, now))
        {
            is_new = true;
            add_incident(message.death, part, now);
        }
    }
    evict_oldest();
    return is_new;
}

/// Whether the crash of a part was not known, reported or cleared.
auto poison_part_detector::note_crash(
    digest const& crash, digest const& part, time_point now) -> bool
{
    auto& known =
        crashes_.try_emplace(crash, known_crash{{}, now}).first->second;
    return known.parts.insert(part).second;
}

auto poison_part_detector::add_incident(
    digest const& crash, digest const& part, time_point now) -> void
{
    auto& record = record_of(part, now);
    auto const is_same_incident =
        !record.incidents.empty() &&
        now - record.incidents.back().at < settings_.incident_length;
    suspects_.insert(part);
    if (!is_same_incident &&
        record.incidents.size() < settings_.crashes_of_proven_part)
    {
        record.incidents.push_back({crash, now});
    }
}

auto poison_part_detector::record_failed_trial(
    crash_message const& message, time_point now) -> bool
{
    auto has_failed = false;
    for (auto const& part : message.in_flight)
    {
        auto const found = parts_.find(part);
        if (found != parts_.end() && found->second.is_on_trial)
        {
            set_ruling(part, found->second.ruling + 2, now);
            has_failed = true;
        }
    }
    return has_failed;
}

auto poison_part_detector::record_output(
    std::vector<digest> const& parts, time_point now)
    -> std::vector<cleared_message>
{
    output_at_ = now;
    auto cleared = std::vector<cleared_message>{};
    for (auto const& part : parts)
    {
        auto& record = record_of(part, now);
        record.output_at = now;
        auto message = cleared_message{part, {}};
        for (auto const& each : record.incidents)
        {
            message.deaths.push_back(each.crash);
        }
        if (is_poison(record))
        {
            set_ruling(part, record.ruling + 1, now);
        }
        if (!message.deaths.empty())
        {
            remove_incidents(part, message.deaths);
            cleared.push_back(std::move(message));
        }
    }
    evict_oldest();
    return cleared;
}

/// A crash that is not known yet counts as known from here on.
auto poison_part_detector::apply(cleared_message const& message, time_point now)
    -> bool
{
    auto is_new = false;
    for (auto const& crash : message.deaths)
    {
        is_new = note_crash(crash, message.content, now) || is_new;
    }
    auto& record = record_of(message.content, now);
    record.output_at = now;
    if (remove_incidents(message.content, message.deaths))
    {
        is_new = true;
        if (is_poison(record))
        {
            // The ruling rests on a crash that the part has not caused.
            set_ruling(message.content, record.ruling + 1, now);
        }
    }
    evict_oldest();
    return is_new;
}

/// Returns whether any of the crashes was an incident of the part.
auto poison_part_detector::remove_incidents(
    digest const& part, std::vector<digest> const& crashes) -> bool
{
    auto& incidents = parts_.at(part).incidents;
    auto const removed = std::erase_if(incidents, [&](incident const& each) {
        return std::find(crashes.begin(), crashes.end(), each.crash) !=
               crashes.end();
    });
    if (incidents.empty())
    {
        suspects_.erase(part);
    }
    return removed > 0;
}

/// Output of the part that was seen a moment ago contradicts the ruling: it is
/// answered with a newer one that releases the part.
auto poison_part_detector::apply(part_ruling const& ruling, time_point now)
    -> bool
{
    auto const& record = record_of(ruling.part, now);
    if (ruling.number <= record.ruling)
    {
        return false;
    }
    auto const is_contradicted =
        ruling.is_poison() && record.output_at &&
        now - *record.output_at < settings_.contradiction_time;
    set_ruling(
        ruling.part, is_contradicted ? ruling.number + 1 : ruling.number, now);
    evict_oldest();
    return true;
}

auto poison_part_detector::apply(
    poison_part_reports const& reports, time_point now) -> poison_part_reports
{
    auto news = poison_part_reports{};
    std::copy_if(
        reports.crashes.begin(), reports.crashes.end(),
        std::back_inserter(news.crashes),
        [&](auto const& each) { return record_crash(each, now); });
    std::copy_if(
        reports.cleared.begin(), reports.cleared.end(),
        std::back_inserter(news.cleared),
        [&](auto const& each) { return apply(each, now); });
    std::copy_if(
        reports.rulings.begin(), reports.rulings.end(),
        std::back_inserter(news.rulings),
        [&](auto const& each) { return apply(each, now); });
    return news;
}

auto poison_part_detector::update(time_point now) -> std::vector<digest>
{
    auto found = std::vector<digest>{};
    for (auto const& due : due_parts(now))
    {
        auto const& record = parts_.at(due.part);
        // An earlier ruling of this round may explain its crashes.
        if (due_since(record))
        {
            set_ruling(due.part, record.ruling + 1, now);
            found.push_back(due.part);
        }
    }
    if (now - expired_at_ >= expiry_interval)
    {
        expired_at_ = now;
        drop_expired(now);
    }
    return found;
}

/// The likeliest causes come first.
auto poison_part_detector::due_parts(time_point now) const
    -> std::vector<due_part>
{
    auto due = std::vector<due_part>{};
    for (auto const& part : suspects_)
    {
        auto const& record = parts_.at(part);
        auto const since = due_since(record);
        if (!since || now - *since < settings_.settle_time)
        {
            continue;
        }
        // Output of the part itself would have cleared it.
        auto const others_have_output = output_at_ && *output_at_ > *since;
        if (others_have_output || now - *since >= settings_.silence_limit)
        {
            due.push_back(
                {part, record.output_at.has_value(), record.requests});
        }
    }
    std::sort(due.begin(), due.end(), [](due_part const& a, due_part const& b) {
        return std::tie(a.is_proven, a.requests, a.part) <
               std::tie(b.is_proven, b.requests, b.part);
    });
    return due;
}

auto poison_part_detector::needed_incidents(part_record const& record) const
    -> std::size_t
{
    return record.output_at ? settings_.crashes_of_proven_part
                            : settings_.crashes;
}

/// When the part was at as many incidents without output as make it poison.
auto poison_part_detector::due_since(part_record const& record) const
    -> std::optional<time_point>
{
    auto const needed = needed_incidents(record);
    return record.incidents.size() < needed
               ? std::nullopt
               : std::optional{record.incidents[needed - 1].at};
}

auto poison_part_detector::is_almost_due(digest const& part) const -> bool
{
    auto const found = parts_.find(part);
    return found != parts_.end() && found->second.incidents.size() + 1 >=
                                        needed_incidents(found->second);
}

auto poison_part_detector::set_ruling(
    digest const& part, std::uint32_t number, time_point now) -> void
{
    auto& record = record_of(part, now);
    record.ruling = number;
    record.ruled_at = now;
    record.turn = std::uniform_real_distribution<double>{0, 1}(random_);
    record.is_on_trial = false;
    ruled_.insert(part);
    suspects_.erase(part);
    if (is_poison(record))
    {
        remove_explained_incidents(part);
    }
    else
    {
        record.incidents.clear();
    }
}

/// Removes other parts from the suspects of the crashes that a part has caused,
/// unless they are as likely to be the cause.
auto poison_part_detector::remove_explained_incidents(digest const& cause)
    -> void
{
    auto const& ruled = parts_.at(cause);
    auto explained = std::vector<digest>{};
    for (auto const& [crash, known] : crashes_)
    {
        if (known.parts.contains(cause))
        {
            explained.push_back(crash);
        }
    }
    auto const suspects = suspects_;
    for (auto const& part : suspects)
    {
        auto const& other = parts_.at(part);
        auto const is_as_likely =
            other.output_at.has_value() == ruled.output_at.has_value() &&
            other.requests == ruled.requests && due_since(other);
        if (!is_as_likely)
        {
            remove_incidents(part, explained);
        }
    }
}

auto poison_part_detector::find_poison(std::vector<digest> const& parts) const
    -> std::optional<digest>
{
    if (ruled_.empty())
    {
        return std::nullopt;
    }
    auto const found =
        std::find_if(parts.begin(), parts.end(), [&](digest const& part) {
            return ruled_.contains(part) && is_poison(parts_.at(part));
        });
    return found == parts.end() ? std::nullopt : std::optional{*found};
}

auto poison_part_detector::take_trial(
    digest const& part, std::size_t daemons, time_point now) -> bool
{
    auto const found = parts_.find(part);
    if (found == parts_.end())
    {
        return true;
    }
    auto& record = found->second;
    auto const interval = std::chrono::duration<double, duration::period>(
                              trial_interval(record.ruling)) *
                          (1 + record.turn * static_cast<double>(daemons));
    if (now - record.ruled_at < interval)
    {
        return false;
    }
    record.ruled_at = now;
    record.turn = std::uniform_real_distribution<double>{0, 1}(random_);
    record.is_on_trial = true;
    return true;
}

auto poison_part_detector::trial_interval(std::uint32_t ruling) const
    -> duration
{
    auto const doublings = std::min(ruling / 2, most_doublings);
    return std::min(
        settings_.most_trial_interval,
        settings_.trial_interval * (std::int64_t{1} << doublings));
}

auto poison_part_detector::rulings() const -> std::vector<part_ruling>
{
    auto by_time = std::vector<std::pair<time_point, part_ruling>>{};
    for (auto const& part : ruled_)
    {
        auto const& record = parts_.at(part);
        by_time.emplace_back(record.ruled_at, part_ruling{part, record.ruling});
    }
    std::sort(by_time.rbegin(), by_time.rend());
    auto newest = std::vector<part_ruling>{};
    for (auto const& [at, ruling] : by_time)
    {
        if (newest.size() < most_rulings)
        {
            newest.push_back(ruling);
        }
    }
    return newest;
}

auto poison_part_detector::record_of(digest const& part, time_point now)
    -> part_record&
{
    auto& record = parts_[part];
    record.touched_at = std::max(record.touched_at, now);
    return record;
}

auto poison_part_detector::drop_expired(time_point now) -> void
{
    std::erase_if(crashes_, [&](auto const& entry) {
        return now - entry.second.at > settings_.crash_memory;
    });
    std::erase_if(parts_, [&](auto const& entry) {
        auto const& [part, record] = entry;
        auto const lifetime = record.ruling == 0
                                  ? settings_.memory
                                  : 2 * settings_.most_trial_interval;
        auto const is_expired =
            now - std::max(record.touched_at, record.ruled_at) > lifetime;
        if (is_expired)
        {
            suspects_.erase(part);
            ruled_.erase(part);
        }
        return is_expired;
    });
}

/// Drops an eighth of the parts at once, so that the search for the oldest does
/// not recur with each new part.
auto poison_part_detector::evict_oldest() -> void
{
    if (parts_.size() <= settings_.most_parts)
    {
        return;
    }
    using candidate = std::tuple<bool, bool, time_point, digest>;
    auto candidates = std::vector<candidate>{};
    for (auto const& [part, record] : parts_)
    {
        candidates.emplace_back(
            is_poison(record), suspects_.contains(part), record.touched_at,
            part);
    }
    std::sort(candidates.begin(), candidates.end());
    auto const kept = settings_.most_parts - settings_.most_parts / 8;
    candidates.resize(parts_.size() - kept);
    for (auto const& [is_refused, is_suspect, touched_at, part] : candidates)
    {
        suspects_.erase(part);
        ruled_.erase(part);
        parts_.erase(part);
    }
}

} // namespace sapphirereel
