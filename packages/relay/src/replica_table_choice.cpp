#include "sapphirereel/relay/replica_table.hpp"

#include "replica_capacity.hpp"
#include "replica_eligibility.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Most replicas that one choice compares. Many daemons that compared all
/// replicas would all choose the same empty one.
constexpr auto max_candidates = std::size_t{18};

/// Most of these that lie in the preferred zone, so that work also goes to
/// other zones that have more room.
constexpr auto max_local_candidates = std::ptrdiff_t{12};

/// Least number of replicas compared besides those that hold the target pause
/// of a stream: these may all be full.
constexpr auto min_other_candidates = std::size_t{6};

/// Upper bound of the random addend that breaks ties between equal scores.
constexpr auto tie_break_span = 0.01;

/// Whether a request may be placed on a replica, whatever the replica's state.
auto may_be_placed_on(
    replica const& candidate,
    placement_need const& need,
    replica_table const& table) -> bool
{
    return is_eligible(candidate, need.service, table) &&
           !need.excluded.contains(candidate.id);
}

/// All replicas before `first_other`, which hold the target pause, and some of
/// the others, most of them in the zone `near`.
auto sample_by_zone(
    std::vector<replica>& usable,
    std::vector<replica>::iterator first_other,
    zone_name const& near) -> std::vector<replica>
{
    auto const paced = static_cast<std::size_t>(first_other - usable.begin());
    auto const others = static_cast<std::ptrdiff_t>(std::max(
        min_other_candidates,
        max_candidates - std::min(max_candidates, paced)));
    auto const first_far = std::stable_partition(
        first_other, usable.end(),
        [&](replica const& each) { return each.zone == near; });
    auto const near_count = std::min<std::ptrdiff_t>(
        first_far - first_other,
        others * max_local_candidates /
            static_cast<std::ptrdiff_t>(max_candidates));
    auto const far_count =
        std::min<std::ptrdiff_t>(usable.end() - first_far, others - near_count);
    auto sample =
        std::vector<replica>(usable.begin(), first_other + near_count);
    sample.insert(sample.end(), first_far, first_far + far_count);
    return sample;
}

} // namespace

auto replica_table::is_pace_expected(
    placement_need const& need,
    std::optional<engine_traits> const& engine,
    time_point now) const -> bool
{
    if (!engine || !need.target_pause ||
        !pace_.is_uneven(need.service, *need.target_pause))
    {
        return false;
    }
    auto const max_share =
        full_share + need.memory_tokens / std::max(1.0, engine->memory_tokens);
    return std::any_of(
        replicas_.begin(), replicas_.end(), [&](auto const& listed) {
            auto const& [id, each] = listed;
            return may_be_placed_on(each, need, *this) &&
                   !is_backing_off(id, now) && !is_cooling_down(id, now) &&
                   pace_.holds(each, *need.target_pause) &&
                   busy_slots(each, now) <= each.slots &&
                   memory_share(each, need, *engine) <= max_share;
        });
}

auto replica_table::refresh_pace(time_point now) -> void
{
    if (!pace_.is_refresh_due(now))
    {
        return;
    }
    auto queues = std::vector<prompt_queue>{};
    for (auto const& [id, each] : replicas_)
    {
        if (is_eligible(each, *this))
        {
            queues.push_back({&each, load_of(id).pending_prefill_tokens});
        }
    }
    pace_.refresh(queues, now);
}

auto replica_table::partition_by_pace(
    std::vector<replica>& usable, placement_need const& need) const
    -> std::vector<replica>::iterator
{
    if (!need.target_pause ||
        !pace_.is_uneven(need.service, *need.target_pause))
    {
        return usable.begin();
    }
    return std::stable_partition(
        usable.begin(), usable.end(), [&](replica const& each) {
            return pace_.holds(each, *need.target_pause);
        });
}

auto replica_table::candidates_for(placement_need const& need, time_point now)
    -> std::vector<replica>
{
    refresh_pace(now);
    if (need.target_pause)
    {
        pace_.record_need(need.service, *need.target_pause, now);
    }
    auto usable = std::vector<replica>{};
    for (auto const& [id, each] : replicas_)
    {
        if (may_be_placed_on(each, need, *this) && !is_backing_off(id, now))
        {
            usable.push_back(each);
        }
    }
    if (usable.size() <= max_candidates)
    {
        return usable;
    }
    std::shuffle(usable.begin(), usable.end(), generator_);
    auto const first_other = partition_by_pace(usable, need);
    // A migration or a backup prefers the zone of the run's memory.
    auto const near = need.memory_zone.value_or(zone_);
    return sample_by_zone(usable, first_other, near);
}

auto replica_table::choose(
    placement_need const& need,
    std::optional<engine_traits> const& engine,
    time_point now) -> std::optional<placement>
{
    expire_peers(now);
    auto tie = std::uniform_real_distribution<double>{0, tie_break_span};
    auto const candidates = candidates_for(need, now);
    if (candidates.empty())
    {
        return std::nullopt;
    }
    auto const others = others_on(need, candidates.size(), now);
    auto scored = std::vector<scored_candidate>{};
    for (auto const& each : candidates)
    {
        auto const score = (engine ? engine_score(each, need, *engine, now)
                                   : plain_score(each, others, now)) +
                           tie(generator_);
        scored.push_back(
            others ? describe(each, score, need, engine, now)
                   : scored_candidate{score, 1, false});
    }
    auto const unseen = others ? others->unseen_requests : 0;
    auto const at = choose_evenly(scored, unseen, generator_);
    auto const& target = candidates[at];
    return placement{
        target,
        scored[at].score,
        engine ? memory_share(target, need, *engine) : 0,
        load_of(target.id).pending_prefill_tokens,
        candidates.size(),
        unseen};
}

} // namespace sapphirereel::relay
