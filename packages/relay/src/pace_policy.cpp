#include "sapphirereel/relay/pace_policy.hpp"

#include "sapphirereel/relay/replica_table.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Number of events to come from which on a stream needs pace. Shorter ones
/// rarely coincide with a slow period.
constexpr auto min_events = 16.0;

/// Share of the target latency within which a stream that waits for pace has to
/// start.
constexpr auto max_wait_share = 0.5;

/// Penalty of a replica on which a long pause is as probable as below, or that
/// is full, for streams that need pace: as much as a replica's whole capacity,
/// so that replicas that hold the target are filled first.
constexpr auto long_pause_penalty = 1.0;
constexpr auto full_penalty_probability = 0.2;

/// Penalty of a replica that holds the target of streams that need pace, for
/// others: they leave it free while others have clearly more room. It decreases
/// to 0 as prompts queue: with one prompt waiting at each replica, short
/// streams that all went to the slower ones would start late.
constexpr auto keep_free_penalty = 0.4;

/// Weight of prompts by which a replica reads them later than the median one of
/// its service: that of pending prompts in its score.
constexpr auto prompt_weight = 3.0;

/// Time after a stream that needs pace during which replicas are kept free for
/// the next.
constexpr auto need_time = duration{std::chrono::seconds{30}};

/// Penalty for a prompt on a replica with running requests that is in a slow
/// period: these would pause for both.
constexpr auto slow_period_penalty = 1.0;

/// Interval at which the ranges of paces are computed.
constexpr auto refresh_interval = duration{std::chrono::milliseconds{250}};

} // namespace

auto needs_pace(double expected_output, double tokens_per_event) -> bool
{
    return expected_output >= min_events * std::max(1.0, tokens_per_event);
}

auto may_wait_for_pace(dispatch_estimate const& estimate) -> bool
{
    return estimate.waited + estimate.expected_start <=
           estimate.target_latency * max_wait_share;
}

auto pace_policy::record_run(replica const& at, run_pauses const& pauses)
    -> void
{
    auto const* const known = figures_.find(at.id);
    auto const longest = pauses.longest();
    if (longest && known != nullptr && known->started_at_ms == at.started_at_ms)
    {
        services_[at.service].pauses.add_run(*longest, known->usual());
    }
}

auto pace_policy::record_need(
    service_name const& of, duration target_pause, time_point now) -> void
{
    auto const found = services_.find(of);
    if (found != services_.end())
    {
        found->second.need = recent_need{target_pause, now};
    }
}

auto pace_policy::is_refresh_due(time_point now) const -> bool
{
    auto const is_old =
        !refreshed_at_ || now - *refreshed_at_ >= refresh_interval;
    return is_old && (!figures_.is_empty() || !services_.empty());
}

auto pace_policy::refresh(
    std::vector<prompt_queue> const& listed, time_point now) -> void
{
    refreshed_at_ = now;
    auto paces = std::map<service_name, std::vector<double>>{};
    auto waiting = std::map<service_name, double>{};
    for (auto const& each : listed)
    {
        if (auto const* const known = figures_.find(each.at->id))
        {
            paces[each.at->service].push_back(known->usual());
            waiting[each.at->service] += each.tokens;
        }
    }
    for (auto& [name, each] : services_)
    {
        each.range.reset();
    }
    for (auto& [name, each] : paces)
    {
        std::sort(each.begin(), each.end());
        services_[name].range = pace_range{
            each.front(), each[each.size() / 2], each.back(),
            waiting[name] / static_cast<double>(each.size())};
    }
}

auto pace_policy::retain(std::map<endpoint_id, replica> const& listed) -> void
{
    figures_.retain(listed);
}

auto pace_policy::service_pace::is_uneven(duration target_pause) const -> bool
{
    return range && pauses.holds(range->lowest, target_pause) &&
           !pauses.holds(range->highest, target_pause);
}

auto pace_policy::service_pace::must_keep_free(
    double usual, time_point now) const -> bool
{
    return need && now - need->at <= need_time &&
           is_uneven(need->target_pause) &&
           pauses.holds(usual, need->target_pause);
}

auto pace_policy::service_pace::penalty_for_others(
    double usual, double prompt_tokens, time_point now) const -> double
{
    if (prompt_tokens <= 0 || !must_keep_free(usual, now))
    {
        return 0;
    }
    auto const prompts_before = range->waiting_tokens / prompt_tokens;
    return keep_free_penalty * std::max(0.0, 1 - prompts_before);
}

auto pace_policy::service_pace::penalty_for_need(
    double usual, pace_situation const& given) const -> double
{
    if (!is_uneven(*given.target_pause))
    {
        return 0;
    }
    auto const probability =
        given.is_full
            ? 1.0
            : pauses.long_pause_probability(usual, *given.target_pause);
    return long_pause_penalty *
           std::min(1.0, probability / full_penalty_probability);
}

auto pace_policy::penalty(
    replica const& at, pace_situation const& given, time_point now) const
    -> double
{
    auto const found = services_.find(at.service);
    if (found == services_.end() || !found->second.range)
    {
        return 0;
    }
    auto const& of = found->second;
    auto const* const known = figures_.find(at.id);
    auto const usual = known != nullptr ? known->usual() : of.range->median;
    auto const is_slow = given.prompt_tokens > 0 && given.is_busy &&
                         known != nullptr && known->is_slow(now);
    auto const for_prompts =
        prompt_weight * given.prompt_share * (usual / of.range->median - 1);
    auto const for_pauses =
        given.target_pause
            ? of.penalty_for_need(usual, given)
            : of.penalty_for_others(usual, given.prompt_tokens, now);
    return (is_slow ? slow_period_penalty : 0) + for_prompts + for_pauses;
}

auto pace_policy::is_uneven(service_name const& of, duration target_pause) const
    -> bool
{
    auto const found = services_.find(of);
    return found != services_.end() && found->second.is_uneven(target_pause);
}

auto pace_policy::holds(replica const& at, duration target_pause) const -> bool
{
    auto const found = services_.find(at.service);
    if (found == services_.end() || !found->second.range)
    {
        return true;
    }
    auto const& of = found->second;
    auto const* const known = figures_.find(at.id);
    return of.pauses.holds(
        known != nullptr ? known->usual() : of.range->median, target_pause);
}

} // namespace sapphirereel::relay
