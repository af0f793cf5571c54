#include "sapphirereel/core/poison_part.hpp"

#include <algorithm>
#include <iterator>
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
        settings.most_crashes >= settings.crashes_of_proven_part,
        "most_crashes", "is less than crashes_of_proven_part",
        "give crashes_of_proven_part or more");
    check(
        settings.most_parts > 0, "most_parts", "no part would be recorded",
        "give a number above 0");
    if (!wrong.empty())
    {
        return tl::unexpected(std::move(wrong));
    }
    return poison_part_detector{settings};
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
        auto& record = record_of(part, now);
        auto const added =
            record.crashes.try_emplace(message.death, crash_record{now, false});
        if (!added.second)
        {
            continue;
        }
        is_new = true;
        suspects_.insert(part);
        drop_oldest_crashes(record);
    }
    evict_oldest();
    return is_new;
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
    auto cleared = std::vector<cleared_message>{};
    for (auto const& part : parts)
    {
        auto& record = record_of(part, now);
        record.is_proven = true;
        auto message = cleared_message{part, {}};
        for (auto const& [death, crash] : record.crashes)
        {
            if (!crash.is_cleared)
            {
                message.deaths.push_back(death);
            }
        }
        if (record.ruling % 2 == 1)
        {
            set_ruling(part, record.ruling + 1, now);
        }
        if (!message.deaths.empty())
        {
            clear(part, message.deaths, now);
            cleared.push_back(std::move(message));
        }
    }
    evict_oldest();
    return cleared;
}

auto poison_part_detector::apply(cleared_message const& message, time_point now)
    -> bool
{
    auto const is_new = clear(message.content, message.deaths, now);
    record_of(message.content, now).is_proven = true;
    evict_oldest();
    return is_new;
}

/// A crash that is not known yet is kept as cleared.
auto poison_part_detector::clear(
    digest const& part, std::vector<digest> const& crashes, time_point now)
    -> bool
{
    auto& record = record_of(part, now);
    auto is_new = false;
    for (auto const& death : crashes)
    {
        auto& crash =
            record.crashes.try_emplace(death, crash_record{now, false})
                .first->second;
        is_new = is_new || !crash.is_cleared;
        crash.is_cleared = true;
    }
    drop_oldest_crashes(record);
    forget_if_cleared(part);
    return is_new;
}

auto poison_part_detector::forget_if_cleared(digest const& part) -> void
{
    auto const& crashes = parts_.at(part).crashes;
    auto const is_suspect =
        std::any_of(crashes.begin(), crashes.end(), [](auto const& each) {
            return !each.second.is_cleared;
        });
    if (!is_suspect)
    {
        suspects_.erase(part);
    }
}

auto poison_part_detector::drop_oldest_crashes(part_record& record) const
    -> void
{
    while (record.crashes.size() > settings_.most_crashes)
    {
        record.crashes.erase(std::min_element(
            record.crashes.begin(), record.crashes.end(),
            [](auto const& a, auto const& b) {
                return a.second.at < b.second.at;
            }));
    }
}

auto poison_part_detector::apply(part_ruling const& ruling, time_point now)
    -> bool
{
    auto const& record = record_of(ruling.part, now);
    if (ruling.number <= record.ruling)
    {
        return false;
    }
    set_ruling(ruling.part, ruling.number, now);
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

/// Parts that have never produced output come first: they explain the crashes
/// better than those that have.
auto poison_part_detector::due_parts(time_point now) const
    -> std::vector<due_part>
{
    auto due = std::vector<due_part>{};
    for (auto const& part : suspects_)
    {
        auto const& record = parts_.at(part);
        auto const since = due_since(record);
        if (since && now - *since >= settings_.settle_time)
        {
            due.push_back({part, record.is_proven});
        }
    }
    std::stable_sort(
        due.begin(), due.end(), [](due_part const& a, due_part const& b) {
            return !a.is_proven && b.is_proven;
        });
    return due;
}

/// When the part was at as many incidents without output as make it poison.
auto poison_part_detector::due_since(part_record const& record) const
    -> std::optional<time_point>
{
    auto times = std::vector<time_point>{};
    for (auto const& [death, crash] : record.crashes)
    {
        if (!crash.is_cleared)
        {
            times.push_back(crash.at);
        }
    }
    std::sort(times.begin(), times.end());
    auto const needed =
        record.is_proven ? settings_.crashes_of_proven_part : settings_.crashes;
    auto incidents = std::uint32_t{0};
    auto last = time_point{};
    for (auto const& at : times)
    {
        if (incidents > 0 && at - last < settings_.incident_length)
        {
            continue;
        }
        last = at;
        if (++incidents == needed)
        {
            return at;
        }
    }
    return std::nullopt;
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
    if (number % 2 == 1)
    {
        remove_explained_crashes(part);
    }
    for (auto& [death, crash] : record.crashes)
    {
        crash.is_cleared = true;
    }
    forget_if_cleared(part);
}

/// Removes other parts from the suspects of the crashes that a part has caused.
auto poison_part_detector::remove_explained_crashes(digest const& cause) -> void
{
    auto const& explained = parts_.at(cause).crashes;
    auto const suspects = suspects_;
    for (auto const& part : suspects)
    {
        for (auto& [death, crash] : parts_.at(part).crashes)
        {
            crash.is_cleared = crash.is_cleared || explained.contains(death);
        }
        forget_if_cleared(part);
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
            return ruled_.contains(part) && parts_.at(part).ruling % 2 == 1;
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

auto poison_part_detector::evict_oldest() -> void
{
    while (parts_.size() > settings_.most_parts)
    {
        auto const oldest = std::min_element(
            parts_.begin(), parts_.end(), [](auto const& a, auto const& b) {
                return std::pair{a.second.ruling % 2, a.second.touched_at} <
                       std::pair{b.second.ruling % 2, b.second.touched_at};
            });
        suspects_.erase(oldest->first);
        ruled_.erase(oldest->first);
        parts_.erase(oldest);
    }
}

} // namespace sapphirereel
