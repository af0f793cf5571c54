#include "sapphirereel/relay/log_freshness.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirereel::relay {
namespace {

/// Parts of the shortest bound. What is left of it is for the read, for the
/// steps between daemons and for a second round, if the first daemon that reads
/// is lost before it has passed on what it read.
constexpr auto age_divisor = 3;
constexpr auto delay_divisor = 10;
constexpr auto attempt_divisor = 10;

/// Part of the age for which others wait after an attempt.
constexpr auto backoff_divisor = 4;

auto since(time_point event, time_point now) -> duration
{
    return event == time_point{} ? duration::max()
                                 : std::max(duration{0}, now - event);
}

/// The moment that lies an age ago; none if the age is not known.
auto moment_of(duration age, time_point now) -> time_point
{
    return age == duration::max() ? time_point{} : now - age;
}

} // namespace

auto freshness_terms::of(relay_settings const& settings) -> freshness_terms
{
    auto const bound = settings.shortest_bound();
    return {
        bound / age_divisor, bound / delay_divisor, bound / attempt_divisor};
}

log_freshness::log_freshness(freshness_terms const& terms, std::uint64_t seed)
    : terms_(terms)
    , random_(seed)
{
    draw_delay();
}

auto log_freshness::start(time_point now) -> void
{
    started_at_ = now;
}

auto log_freshness::record_read(time_point at) -> void
{
    own_read_at_ = std::max(own_read_at_, at);
    mesh_read_at_ = std::max(mesh_read_at_, at);
    note_read(at);
}

auto log_freshness::note_read(time_point at) -> void
{
    if (at > read_at_)
    {
        read_at_ = at;
        draw_delay();
    }
}

auto log_freshness::record_attempt(time_point at) -> void
{
    own_attempted_at_ = std::max(own_attempted_at_, at);
    attempted_at_ = std::max(attempted_at_, at);
}

auto log_freshness::apply_peer(
    copy_age const& reported, bool is_in_mesh, time_point now) -> void
{
    auto const own_read = moment_of(reported.since_read, now);
    note_read(own_read);
    if (is_in_mesh)
    {
        mesh_read_at_ = std::max(mesh_read_at_, own_read);
    }
    else
    {
        note_read(moment_of(reported.since_zone_read, now));
    }
    apply_attempt(reported, now);
}

auto log_freshness::apply_attempt(copy_age const& reported, time_point now)
    -> void
{
    attempted_at_ =
        std::max(attempted_at_, moment_of(reported.since_attempt, now));
}

auto log_freshness::age_to_report(time_point now) const -> copy_age
{
    return {
        since(own_read_at_, now), since(mesh_read_at_, now),
        since(own_attempted_at_, now)};
}

auto log_freshness::age(time_point now) const -> duration
{
    return since(read_at_, now);
}

auto log_freshness::is_read_due(time_point now) const -> bool
{
    auto const aged = since(std::max(read_at_, started_at_), now);
    auto const is_old = aged > terms_.max_age + delay_;
    auto const patience = std::max(
        terms_.attempt_time, (aged - terms_.max_age) / backoff_divisor);
    return is_old && since(attempted_at_, now) > patience + delay_;
}

auto log_freshness::draw_delay() -> void
{
    // Few delays are short, so that few daemons read before they hear of the
    // first one.
    auto share = std::uniform_real_distribution<double>{0, 1};
    delay_ = std::chrono::duration_cast<duration>(
        terms_.max_delay * std::cbrt(share(random_)));
}

} // namespace sapphirereel::relay
