#include "sapphirereel/relay/replica_table.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Age above which a peer's count is dropped.
constexpr auto peer_load_max_age = duration{std::chrono::seconds{3}};

/// Age above which a load that a replica reported is ignored.
constexpr auto reported_load_max_age = duration{std::chrono::milliseconds{400}};

/// Cooldown of a replica after a first failure; doubles with each further
/// failure in a row.
constexpr auto first_cooldown = duration{std::chrono::milliseconds{500}};

/// Most doublings of the cooldown.
constexpr auto max_doublings = std::uint32_t{4};

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

/// Share of the memory above which a replica is considered full; less than 1
/// because the counts lag behind.
constexpr auto full_share = 0.94;

/// Most replicas that one choice compares. Many daemons that compared all
/// replicas would all choose the same empty one.
constexpr auto max_candidates = std::size_t{18};

/// Most of these that lie in the preferred zone, so that work also goes to
/// other zones that have more room.
constexpr auto max_local_candidates = std::ptrdiff_t{12};

/// Least number of replicas compared besides those that hold the target pause
/// of a stream: these may all be full.
constexpr auto min_other_candidates = std::size_t{6};

/// Time within which daemons may place streams on the same replica unseen.
/// Daemons report each stream that they place at once; the report takes up to
/// 1.4 ms between zones, and a daemon with a small share of a core reads it at
/// its next turn.
constexpr auto placement_delay = duration{std::chrono::milliseconds{40}};

/// Requests that may be sent to a replica during its backoff, for runs that it
/// executes already.
constexpr auto max_sent_during_backoff = std::uint32_t{2};

/// Upper bound of the random addend that breaks ties between equal scores.
constexpr auto tie_break_span = 0.01;

auto add_load(replica_load& sum, replica_load const& load) -> void
{
    sum.requests += load.requests;
    sum.memory_tokens += load.memory_tokens;
    sum.pending_prefill_tokens += load.pending_prefill_tokens;
    sum.movable_tokens += load.movable_tokens;
}

/// Subtracts from a report; a replica without requests is removed from it.
auto subtract_load(
    load_report& report, endpoint_id const& id, replica_load const& load)
    -> void
{
    auto const found = report.find(id);
    if (found == report.end())
    {
        return;
    }
    auto& sum = found->second;
    sum.requests -= std::min(sum.requests, load.requests);
    sum.memory_tokens = std::max(0.0, sum.memory_tokens - load.memory_tokens);
    sum.pending_prefill_tokens =
        std::max(0.0, sum.pending_prefill_tokens - load.pending_prefill_tokens);
    sum.movable_tokens =
        std::max(0.0, sum.movable_tokens - load.movable_tokens);
    if (sum.requests == 0)
    {
        report.erase(found);
    }
}

} // namespace

replica_table::replica_table(zone_name zone, std::uint64_t seed)
    : zone_(std::move(zone))
    , generator_(seed)
{}

auto replica_table::set_replicas(std::vector<replica> const& listed)
    -> std::vector<replica>
{
    auto next = std::map<endpoint_id, replica>{};
    for (auto const& each : listed)
    {
        next.emplace(each.id, each);
    }
    auto leaving = std::vector<replica>{};
    for (auto const& [id, before] : replicas_)
    {
        auto const after = next.find(id);
        auto const leaves =
            after == next.end() || (after->second.leaving && !before.leaving);
        if (leaves)
        {
            leaving.push_back(before);
        }
    }
    replicas_ = std::move(next);
    std::erase_if(failures_, [&](auto const& each) {
        return !replicas_.contains(each.first);
    });
    std::erase_if(reported_loads_, [&](auto const& each) {
        return !replicas_.contains(each.first);
    });
    std::erase_if(backoffs_, [&](auto const& each) {
        return !replicas_.contains(each.first);
    });
    pace_.retain(replicas_);
    return leaving;
}

auto replica_table::find(endpoint_id const& id) const -> replica const*
{
    auto const found = replicas_.find(id);
    return found == replicas_.end() ? nullptr : &found->second;
}

auto replica_table::set_evacuated(std::set<zone_name> zones) -> void
{
    evacuated_ = std::move(zones);
}

auto replica_table::is_evacuated(replica const& which) const -> bool
{
    return evacuated_.contains(which.zone);
}

auto replica_table::has_only_evacuated(service_name const& of) const -> bool
{
    if (evacuated_.empty())
    {
        return false;
    }
    auto has_evacuated = false;
    for (auto const& [id, each] : replicas_)
    {
        if (each.service != of || each.leaving)
        {
            continue;
        }
        if (!is_evacuated(each))
        {
            return false;
        }
        has_evacuated = true;
    }
    return has_evacuated;
}

auto replica_table::add(endpoint_id const& id, replica_load const& load) -> void
{
    add_load(own_[id], load);
    auto const reported = reported_loads_.find(id);
    if (reported != reported_loads_.end())
    {
        reported->second.sent_since += load.requests;
    }
}

auto replica_table::remove(endpoint_id const& id, replica_load const& load)
    -> void
{
    subtract_load(own_, id, load);
}

auto replica_table::subtract_peer_load(timed_peer_load const& count) -> void
{
    for (auto const& [id, load] : count.report)
    {
        subtract_load(peer_total_, id, load);
    }
}

auto replica_table::expire_peers(time_point now) -> void
{
    auto const expire = [&](auto const& each) {
        auto const is_old = now - each.second.at > peer_load_max_age;
        if (is_old)
        {
            subtract_peer_load(each.second);
        }
        return is_old;
    };
    std::erase_if(peers_, expire);
    std::erase_if(zones_, expire);
}

auto replica_table::replace_load(
    timed_peer_load& count, load_report report, time_point now) -> void
{
    subtract_peer_load(count);
    auto requests = 0.0;
    for (auto const& [id, load] : report)
    {
        add_load(peer_total_[id], load);
        requests += load.requests;
    }
    count = {std::move(report), now, requests};
    expire_peers(now);
}

auto replica_table::set_peer_load(
    daemon_id const& peer, load_report report, time_point now) -> void
{
    replace_load(peers_[peer], std::move(report), now);
}

auto replica_table::set_zone_load(
    zone_name const& zone, load_report report, time_point now) -> void
{
    replace_load(zones_[zone], std::move(report), now);
}

auto replica_table::load_of_own_zone() const -> load_report
{
    auto sum = own_;
    for (auto const& [peer, count] : peers_)
    {
        for (auto const& [id, load] : count.report)
        {
            add_load(sum[id], load);
        }
    }
    return sum;
}

auto replica_table::set_backoff(
    endpoint_id const& id, duration length, time_point now) -> void
{
    if (!replicas_.contains(id))
    {
        return;
    }
    if (!is_backing_off(id, now))
    {
        backoffs_[id] = {now + length, 0};
        return;
    }
    auto& held = backoffs_[id];
    held.until = std::max(held.until, now + length);
}

auto replica_table::is_backing_off(endpoint_id const& id, time_point now) const
    -> bool
{
    auto const found = backoffs_.find(id);
    return found != backoffs_.end() && now < found->second.until;
}

auto replica_table::take_backoff_allowance(
    endpoint_id const& id, time_point now) -> bool
{
    if (!is_backing_off(id, now))
    {
        backoffs_.erase(id);
        return true;
    }
    return backoffs_[id].sent++ < max_sent_during_backoff;
}

auto replica_table::time_until_accepted(
    service_name const& of, time_point now) const -> std::optional<duration>
{
    auto earliest = std::optional<time_point>{};
    for (auto const& [id, each] : replicas_)
    {
        if (each.service != of || each.leaving || is_evacuated(each))
        {
            continue;
        }
        if (!is_backing_off(id, now))
        {
            return std::nullopt;
        }
        auto const until = backoffs_.at(id).until;
        earliest = earliest ? std::min(*earliest, until) : until;
    }
    return earliest ? std::optional{*earliest - now} : std::nullopt;
}

auto replica_table::set_reported_load(
    endpoint_id const& id, reported_load load, time_point now) -> void
{
    if (replicas_.contains(id))
    {
        reported_loads_[id] = {load, now};
    }
}

auto replica_table::record_service_time(service_name const& of, duration took)
    -> void
{
    service_times_[of].add_sample(took);
}

auto replica_table::failed(endpoint_id const& id, time_point now) -> void
{
    auto& count = failures_[id];
    auto const doublings = std::min(count.consecutive, max_doublings);
    ++count.consecutive;
    count.cooldown_until = now + first_cooldown * (1U << doublings);
}

auto replica_table::succeeded(endpoint_id const& id) -> void
{
    failures_.erase(id);
}

auto replica_table::load_of(endpoint_id const& id) const -> replica_load
{
    auto sum = replica_load{};
    for (auto const* const report : {&own_, &peer_total_})
    {
        auto const found = report->find(id);
        if (found != report->end())
        {
            add_load(sum, found->second);
        }
    }
    return sum;
}

auto replica_table::movable_ahead(
    endpoint_id const& id, daemon_id const& self) const -> double
{
    auto tokens = 0.0;
    for (auto const& [peer, count] : peers_)
    {
        auto const found = count.report.find(id);
        if (peer < self && found != count.report.end())
        {
            tokens += found->second.movable_tokens;
        }
    }
    // Daemons of other zones are not told apart; a zone takes its turn by name.
    for (auto const& [zone, count] : zones_)
    {
        auto const found = count.report.find(id);
        if (zone < zone_ && found != count.report.end())
        {
            tokens += found->second.movable_tokens;
        }
    }
    return tokens;
}

auto replica_table::mean_memory_share(
    service_name const& service, engine_traits const& engine) const -> double
{
    auto used = 0.0;
    auto whole = 0.0;
    for (auto const& [id, each] : replicas_)
    {
        if (each.service == service && !each.leaving && !is_evacuated(each))
        {
            used += load_of(id).memory_tokens;
            whole += engine.memory_tokens;
        }
    }
    return whole > 0 ? used / whole : 0;
}

auto replica_table::mean_service_time(service_name const& of) const
    -> std::optional<duration>
{
    auto const measured = service_times_.find(of);
    return measured == service_times_.end() ? std::nullopt
                                            : measured->second.mean();
}

auto replica_table::load_spreads() const -> std::map<service_name, double>
{
    auto memory = std::map<service_name, std::vector<double>>{};
    auto requests = std::map<service_name, std::vector<double>>{};
    for (auto const& [id, each] : replicas_)
    {
        if (!each.leaving && !is_evacuated(each))
        {
            auto const load = load_of(id);
            memory[each.service].push_back(load.memory_tokens);
            requests[each.service].push_back(load.requests);
        }
    }
    auto spreads = std::map<service_name, double>{};
    for (auto const& [service, counts] : requests)
    {
        auto const by_memory = busiest_over_mean(memory[service]);
        auto const spread =
            by_memory > 0 ? by_memory : busiest_over_mean(counts);
        if (spread > 0)
        {
            spreads.emplace(service, spread);
        }
    }
    return spreads;
}

auto replica_table::is_cooling_down(endpoint_id const& id, time_point now) const
    -> bool
{
    auto const failure = failures_.find(id);
    return failure != failures_.end() && now < failure->second.cooldown_until;
}

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
    auto const measured = service_times_.find(need.service);
    if (measured == service_times_.end() || !measured->second.mean())
    {
        return std::nullopt;
    }
    auto listed = std::size_t{0};
    auto slots = 0.0;
    auto requests = 0.0;
    auto states_load = false;
    for (auto const& [id, each] : replicas_)
    {
        if (each.service != need.service || each.leaving || is_evacuated(each))
        {
            continue;
        }
        auto const found = peer_total_.find(id);
        ++listed;
        slots += std::max(1U, each.slots);
        requests += found == peer_total_.end() ? 0 : found->second.requests;
        states_load = states_load || reported_loads_.contains(id);
    }
    // A large fleet's other zones are known as sums of many daemons.
    auto const has_many_daemons = peers_.size() >= listed || !zones_.empty();
    if (!states_load || !has_many_daemons)
    {
        return std::nullopt;
    }
    auto const time = *measured->second.mean();
    auto const known = known_share(time, now);
    auto const is_reported_at_once = need.memory_tokens > 0;
    auto const unseen_share =
        1 - (is_reported_at_once
                 ? std::max(known, remaining_share(placement_delay, time))
                 : known);
    auto const compared_share =
        static_cast<double>(compared) / static_cast<double>(listed);
    return others_load{
        requests / slots, known, requests * unseen_share * compared_share,
        time};
}

auto replica_table::counts_of(replica const& candidate, time_point now) const
    -> replica_counts
{
    auto const requests_in = [&](load_report const& report) {
        auto const found = report.find(candidate.id);
        return found == report.end() ? 0.0 : double{1} * found->second.requests;
    };
    auto counts = replica_counts{
        requests_in(own_), requests_in(peer_total_),
        double{1} * std::max(1U, candidate.slots), std::nullopt};
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
    auto const slots = std::max(1U, candidate.slots);
    auto const busy =
        others ? estimated_requests(counts_of(candidate, now), *others)
               : static_cast<double>(busy_slots(candidate, now));
    return busy / slots + penalty(candidate, std::nullopt, now);
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

auto replica_table::memory_share(
    replica const& candidate,
    placement_need const& need,
    engine_traits const& engine) const -> double
{
    auto const used = load_of(candidate.id).memory_tokens + need.memory_tokens;
    return engine.memory_tokens > 0 ? used / engine.memory_tokens : 0;
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
        engine.memory_tokens > 0
            ? load.pending_prefill_tokens / engine.memory_tokens
            : 0;
    auto const slots = std::max(1U, candidate.slots);
    auto const slot_share = (static_cast<double>(load.requests) + 1) / slots;
    auto const slot_overflow = std::max(0.0, slot_share - 1);
    auto const lags = zones_.contains(candidate.zone);
    // A migrated run brings its prompt along.
    auto const prompt = need.memory_zone ? 0 : need.prompt_tokens;
    auto const prompt_share =
        engine.memory_tokens > 0 ? prompt / engine.memory_tokens : 0;
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
            return each.service == need.service && !each.leaving &&
                   !is_evacuated(each) && !need.excluded.contains(id) &&
                   !is_backing_off(id, now) &&
                   penalty(each, std::nullopt, now) < cooldown_penalty &&
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
        if (!each.leaving && !is_evacuated(each))
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
        if (each.service == need.service && !each.leaving &&
            !is_evacuated(each) && !need.excluded.contains(id) &&
            !is_backing_off(id, now))
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
    auto const paced = static_cast<std::size_t>(first_other - usable.begin());
    auto const others = std::max(
        min_other_candidates, max_candidates - std::min(max_candidates, paced));
    // A migration or a backup prefers the zone of the run's memory.
    auto const near = need.memory_zone.value_or(zone_);
    auto const first_far = std::stable_partition(
        first_other, usable.end(),
        [&](replica const& each) { return each.zone == near; });
    auto const near_count = std::min<std::ptrdiff_t>(
        first_far - first_other,
        static_cast<std::ptrdiff_t>(others) * max_local_candidates /
            static_cast<std::ptrdiff_t>(max_candidates));
    auto compared =
        std::vector<replica>(usable.begin(), first_other + near_count);
    auto const far_count = std::min<std::ptrdiff_t>(
        usable.end() - first_far,
        static_cast<std::ptrdiff_t>(others) - near_count);
    compared.insert(compared.end(), first_far, first_far + far_count);
    return compared;
}

auto replica_table::describe(
    replica const& candidate,
    double score,
    placement_need const& need,
    std::optional<engine_traits> const& engine,
    time_point now) const -> scored_candidate
{
    auto const is_cooling = is_cooling_down(candidate.id, now);
    auto const slots = static_cast<double>(std::max(1U, candidate.slots));
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
