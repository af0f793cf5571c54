#include "sapphirereel/relay/replica_table.hpp"

#include "load_sum.hpp"
#include "replica_capacity.hpp"
#include "replica_eligibility.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Age above which a load that a replica reported is ignored.
constexpr auto reported_load_max_age = duration{std::chrono::milliseconds{400}};

/// Added to the score of a replica in its cooldown: more than any load, so that
/// it is chosen only if no other is left.
constexpr auto cooldown_penalty = 100.0;

/// Added to the score of a replica in another zone than this daemon's, as a
/// share of a replica's capacity.
constexpr auto cross_zone_penalty = 0.05;

/// Added to the score of an engine in a zone of which only the sum of its load
/// is known: it lags by up to a second, in which that zone's own daemons and
/// those of other zones may all have chosen the replica.
constexpr auto lagging_load_penalty = 0.6;

/// Added to the score of a replica in another zone than the run's memory, for a
/// migration or a backup: a migration between zones takes twice as long, and
/// the link of the leaving replica is the bottleneck.
constexpr auto cross_zone_move_penalty = 0.6;

/// Weight of memory use above `full_share` and of requests beyond the slots,
/// each as a share of the capacity. Both would cause preemptions.
constexpr auto overflow_weight = 20.0;

/// Weight of prompts that wait for prefill: unlike memory in use they delay the
/// next first event at once.
constexpr auto pending_prefill_weight = 3.0;

/// Time within which daemons may place streams on the same replica unseen.
/// Daemons report each stream that they place at once; the report takes up to
/// 1.4 ms between zones, and a daemon with a small share of a core reads it at
/// its next turn.
constexpr auto placement_delay = duration{std::chrono::milliseconds{40}};

/// Share of an engine's memory that tokens take; 0 if its memory is unknown.
auto share_of_memory(double tokens, engine_traits const& engine) -> double
{
    return engine.memory_tokens > 0 ? tokens / engine.memory_tokens : 0;
}

/// Share of the other daemons' requests that were placed since their counts.
auto unseen_share(
    placement_need const& need, double known_share, duration service_time)
    -> double
{
    auto const is_reported_at_once = need.memory_tokens > 0;
    if (!is_reported_at_once)
    {
        return 1 - known_share;
    }
    auto const reported_share = remaining_share(placement_delay, service_time);
    return 1 - std::max(known_share, reported_share);
}

} // namespace

auto replica_table::penalty(
    replica const& candidate,
    std::optional<zone_name> const& memory_zone,
    time_point now) const -> double
{
    auto const avoided = is_cooling_down(candidate.id, now);
    auto const crosses_zones = memory_zone && *memory_zone != candidate.zone;
    return (avoided ? cooldown_penalty : 0) +
           (crosses_zones ? cross_zone_move_penalty : 0) +
           (candidate.zone == zone_ ? 0 : cross_zone_penalty);
}

auto replica_table::busy_slots(replica const& candidate, time_point now) const
    -> std::uint32_t
{
    auto busy = load_of(candidate.id).requests;
    auto const reported = reported_loads_.find(candidate.id);
    if (reported != reported_loads_.end() &&
        now - reported->second.at <= reported_load_max_age)
    {
        auto const& load = reported->second.load;
        busy = std::max(busy, load.running + load.waiting);
    }
    return busy;
}

auto replica_table::known_share(duration service_time, time_point now) const
    -> double
{
    auto known = 0.0;
    auto whole = 0.0;
    // A count of 0 is one of the counts too.
    auto const add = [&](timed_peer_load const& count) {
        auto const weight = 1 + count.requests;
        known += weight * remaining_share(now - count.at, service_time);
        whole += weight;
    };
    for (auto const& [peer, count] : peers_)
    {
        add(count);
    }
    for (auto const& [zone, count] : zones_)
    {
        add(count);
    }
    return whole > 0 ? known / whole : 1;
}

auto replica_table::others_on(
    placement_need const& need, std::size_t compared, time_point now) const
    -> std::optional<others_load>
{
    auto const time = mean_service_time(need.service);
    if (!time)
    {
        return std::nullopt;
    }
    auto listed = std::size_t{0};
    auto slots = 0.0;
    auto requests = 0.0;
    auto states_load = false;
    for (auto const& [id, each] : replicas_)
    {
        if (!is_eligible(each, need.service, *this))
        {
            continue;
        }
        ++listed;
        slots += slots_of(each);
        requests += load_in(peer_total_, id).requests;
        states_load = states_load || reported_loads_.contains(id);
    }
    // A large fleet's other zones are known as sums of many daemons.
    auto const has_many_daemons = peers_.size() >= listed || !zones_.empty();
    if (!states_load || !has_many_daemons)
    {
        return std::nullopt;
    }
    auto const known = known_share(*time, now);
    auto const compared_share =
        static_cast<double>(compared) / static_cast<double>(listed);
    return others_load{
        requests / slots, known,
        requests * unseen_share(need, known, *time) * compared_share, *time};
}

auto replica_table::counts_of(replica const& candidate, time_point now) const
    -> replica_counts
{
    auto counts = replica_counts{
        double{1} * load_in(own_, candidate.id).requests,
        double{1} * load_in(peer_total_, candidate.id).requests,
        double{1} * slots_of(candidate), std::nullopt};
    auto const reported = reported_loads_.find(candidate.id);
    if (reported != reported_loads_.end())
    {
        auto const& [load, at, sent_since] = reported->second;
        counts.stated = {
            double{1} * load.running + load.waiting + sent_since, now - at};
    }
    return counts;
}

auto replica_table::plain_score(
    replica const& candidate,
    std::optional<others_load> const& others,
    time_point now) const -> double
{
    auto const slots = slots_of(candidate);
    auto const busy =
        others ? estimated_requests(counts_of(candidate, now), *others)
               : static_cast<double>(busy_slots(candidate, now));
    return busy / slots + penalty(candidate, std::nullopt, now);
}

auto replica_table::memory_share(
    replica const& candidate,
    placement_need const& need,
    engine_traits const& engine) const -> double
{
    auto const used = load_of(candidate.id).memory_tokens + need.memory_tokens;
    return share_of_memory(used, engine);
}

auto replica_table::has_room(
    endpoint_id const& id,
    placement_need const& need,
    std::optional<engine_traits> const& engine,
    time_point now) const -> bool
{
    auto const* const listed = find(id);
    if (listed == nullptr || busy_slots(*listed, now) >= listed->slots)
    {
        return false;
    }
    return !engine || memory_share(*listed, need, *engine) <= full_share;
}

auto replica_table::engine_score(
    replica const& candidate,
    placement_need const& need,
    engine_traits const& engine,
    time_point now) const -> double
{
    auto const load = load_of(candidate.id);
    auto const share = memory_share(candidate, need, engine);
    auto const overflow = std::max(0.0, share - full_share);
    auto const pending_prefill_share =
        share_of_memory(load.pending_prefill_tokens, engine);
    auto const slot_share =
        (static_cast<double>(load.requests) + 1) / slots_of(candidate);
    auto const slot_overflow = std::max(0.0, slot_share - 1);
    auto const lags = zones_.contains(candidate.zone);
    // A migrated run brings its prompt along.
    auto const prompt = need.memory_zone ? 0 : need.prompt_tokens;
    auto const prompt_share = share_of_memory(prompt, engine);
    auto const for_pace = pace_.penalty(
        candidate,
        {need.target_pause, load.requests > 0, overflow + slot_overflow > 0,
         prompt, pending_prefill_share + prompt_share},
        now);
    return (lags ? lagging_load_penalty : 0) + share +
           pending_prefill_weight * pending_prefill_share +
           overflow_weight * (overflow + slot_overflow) +
           penalty(candidate, need.memory_zone, now) + for_pace;
}

auto replica_table::describe(
    replica const& candidate,
    double score,
    placement_need const& need,
    std::optional<engine_traits> const& engine,
    time_point now) const -> scored_candidate
{
    auto const is_cooling = is_cooling_down(candidate.id, now);
    auto const slots = static_cast<double>(slots_of(candidate));
    if (!engine)
    {
        return {score, slots, is_cooling};
    }
    auto const cost =
        need.memory_tokens + pending_prefill_weight * need.prompt_tokens;
    auto const is_full =
        memory_share(candidate, need, *engine) > full_share ||
        static_cast<double>(load_of(candidate.id).requests) + 1 > slots;
    return {
        score, cost > 0 ? engine->memory_tokens / cost : slots,
        is_cooling || is_full};
}

} // namespace sapphirereel::relay
