#include "sapphirereel/relay/replica_pace.hpp"

#include "sapphirereel/relay/replica_table.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Length of a window of the lowest figure: several times the 4 s after which a
/// machine has a slow period again, so that each has figures of normal times.
constexpr auto window = duration{std::chrono::seconds{10}};

/// Pace of a machine on which work takes the usual time, in percent.
constexpr auto usual_time = 100.0;

/// Bounds of a figure that is taken at its word, in percent.
constexpr auto min_pace = 5.0;
constexpr auto max_pace = 10'000.0;

/// Share by which a figure must be lower than what the peers know to be news.
constexpr auto min_change_share = 0.05;

/// Time for which news is included in reports.
constexpr auto news_time = duration{std::chrono::seconds{2}};

/// Most entries in one report, and those in rotation: an entry takes about 33
/// bytes, and a report gets at most 200 more.
constexpr auto max_reported_entries = std::size_t{6};
constexpr auto max_rotated_entries = std::size_t{2};

/// Age above which a figure says nothing about the present.
constexpr auto max_figure_age = duration{std::chrono::milliseconds{400}};

/// Multiple of the usual pace from which a machine is in a slow period.
constexpr auto slow_factor = 2.0;

auto is_valid(double pace) -> bool
{
    return pace >= min_pace && pace <= max_pace;
}

} // namespace

auto recent_lowest::add(double value, time_point now) -> void
{
    auto const age = now - current_since_;
    if (!current_ || age > window)
    {
        previous_ = age <= 2 * window ? current_ : std::nullopt;
        current_ = value;
        current_since_ = now;
    }
    current_ = std::min(*current_, value);
    added_at_ = now;
}

auto recent_lowest::value() const -> std::optional<double>
{
    return previous_ ? std::min(*previous_, *current_) : current_;
}

auto recent_lowest::is_recent(time_point now) const -> bool
{
    return current_ && now - added_at_ <= 2 * window;
}

auto known_pace::usual() const -> double
{
    return all.value().value_or(usual_time);
}

auto known_pace::is_slow(time_point now) const -> bool
{
    return last && now - last_at <= max_figure_age &&
           *last >= slow_factor * usual();
}

auto replica_pace::record_figure(replica const& of, double pace, time_point now)
    -> bool
{
    if (!is_valid(pace))
    {
        return false;
    }
    auto& known = known_[of.id];
    if (of.started_at_ms < known.started_at_ms)
    {
        return true;
    }
    if (of.started_at_ms > known.started_at_ms)
    {
        known = {};
        known.started_at_ms = of.started_at_ms;
    }
    auto const before = known.all.value();
    if (!before || pace < *before * (1 - min_change_share))
    {
        known.news_at = now;
    }
    known.own.add(pace, now);
    known.all.add(pace, now);
    known.last = pace;
    known.last_at = now;
    return true;
}

auto replica_pace::apply_report(
    std::vector<pace_entry> const& entries,
    std::map<endpoint_id, replica> const& listed,
    time_point now) -> void
{
    for (auto const& each : entries)
    {
        auto const found = listed.find(each.id);
        auto const is_listed =
            found != listed.end() &&
            found->second.started_at_ms == each.started_at_ms;
        if (!is_listed || !is_valid(each.usual_pace))
        {
            continue;
        }
        auto& known = known_[each.id];
        if (known.started_at_ms != each.started_at_ms)
        {
            known = {};
            known.started_at_ms = each.started_at_ms;
        }
        known.all.add(each.usual_pace, now);
    }
}

auto replica_pace::entries_to_report(time_point now) -> std::vector<pace_entry>
{
    auto reported = std::vector<pace_entry>{};
    auto rotated = std::size_t{0};
    auto at = known_.upper_bound(rotated_to_);
    for (auto left = known_.size(); left > 0; --left, ++at)
    {
        if (at == known_.end())
        {
            at = known_.begin();
        }
        auto const& [id, known] = *at;
        auto const is_news = known.news_at && now - *known.news_at <= news_time;
        auto const is_due = rotated < max_rotated_entries;
        if (!known.own.is_recent(now) || (!is_news && !is_due))
        {
            continue;
        }
        rotated += is_news ? 0 : 1;
        rotated_to_ = id;
        reported.push_back({id, known.started_at_ms, *known.own.value()});
        if (reported.size() >= max_reported_entries)
        {
            break;
        }
    }
    return reported;
}

auto replica_pace::find(endpoint_id const& id) const -> known_pace const*
{
    auto const found = known_.find(id);
    return found == known_.end() ? nullptr : &found->second;
}

auto replica_pace::retain(std::map<endpoint_id, replica> const& listed) -> void
{
    std::erase_if(known_, [&](auto const& each) {
        auto const found = listed.find(each.first);
        return found == listed.end() ||
               found->second.started_at_ms != each.second.started_at_ms;
    });
}

} // namespace sapphirereel::relay
