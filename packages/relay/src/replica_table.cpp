#include "sapphirereel/relay/replica_table.hpp"

#include <algorithm>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Age from which a peer's count no longer counts.
constexpr auto peer_count_life = duration{std::chrono::seconds{3}};

/// Age from which a replica's word of its load no longer counts.
constexpr auto stated_load_life = duration{std::chrono::milliseconds{400}};

/// Time for which a replica is avoided after a first failure; doubles with
/// each further one.
constexpr auto first_avoidance = duration{std::chrono::milliseconds{500}};

/// Doublings of the avoidance.
constexpr auto most_doublings = std::uint32_t{4};

/// Added to the score of a replica that is avoided: more than any load, so
/// that it is used only where no other is left.
constexpr auto avoidance_penalty = 100.0;

/// Added to the score of a replica in another zone, in shares of a replica's
/// capacity.
constexpr auto zone_penalty = 0.02;

/// Added to the score of a replica in another zone than the memory that is to
/// be moved: a move takes twice as long there, and a leaving replica's link is
/// what binds.
constexpr auto far_move_penalty = 0.6;

/// Weight of a memory that is full by all counts, which would preempt.
constexpr auto overflow_weight = 20.0;

/// Share of the memory from which a replica counts as full; the counts lag.
constexpr auto full_share = 0.94;

/// Span of the random part that parts equal scores.
constexpr auto tie_span = 0.01;

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
    std::erase_if(stated_, [&](auto const& each) {
        return !replicas_.contains(each.first);
    });
    return leaving;
}

auto replica_table::find(endpoint_id const& id) const -> replica const*
{
    auto const found = replicas_.find(id);
    return found == replicas_.end() ? nullptr : &found->second;
}

auto replica_table::add(endpoint_id const& id, replica_load const& load) -> void
{
    auto& sum = own_[id];
    sum.requests += load.requests;
    sum.memory_tokens += load.memory_tokens;
    sum.unread_tokens += load.unread_tokens;
}

auto replica_table::remove(endpoint_id const& id, replica_load const& load)
    -> void
{
    auto const found = own_.find(id);
    if (found == own_.end())
    {
        return;
    }
    auto& sum = found->second;
    sum.requests -= std::min(sum.requests, load.requests);
    sum.memory_tokens = std::max(0.0, sum.memory_tokens - load.memory_tokens);
    sum.unread_tokens = std::max(0.0, sum.unread_tokens - load.unread_tokens);
    if (sum.requests == 0)
    {
        own_.erase(found);
    }
}

auto replica_table::set_peer_load(
    daemon_id const& peer, load_report report, time_point now) -> void
{
    peers_[peer] = {std::move(report), now};
    std::erase_if(peers_, [&](auto const& each) {
        return now - each.second.at > peer_count_life;
    });
}

auto replica_table::stated(
    endpoint_id const& id, stated_load load, time_point now) -> void
{
    if (replicas_.contains(id))
    {
        stated_[id] = {load, now};
    }
}

auto replica_table::failed(endpoint_id const& id, time_point now) -> void
{
    auto& count = failures_[id];
    auto const doublings = std::min(count.in_row, most_doublings);
    ++count.in_row;
    count.avoided_until = now + first_avoidance * (1U << doublings);
}

auto replica_table::succeeded(endpoint_id const& id) -> void
{
    failures_.erase(id);
}

auto replica_table::load_of(endpoint_id const& id, time_point now) const
    -> replica_load
{
    auto sum = replica_load{};
    auto const add_from = [&](load_report const& report) {
        auto const found = report.find(id);
        if (found != report.end())
        {
            sum.requests += found->second.requests;
            sum.memory_tokens += found->second.memory_tokens;
            sum.unread_tokens += found->second.unread_tokens;
        }
    };
    add_from(own_);
    for (auto const& [peer, count] : peers_)
    {
        if (now - count.at <= peer_count_life)
        {
            add_from(count.report);
        }
    }
    return sum;
}

auto replica_table::penalty(
    replica const& candidate,
    std::optional<zone_name> const& memory_zone,
    time_point now) const -> double
{
    auto const failure = failures_.find(candidate.id);
    auto const avoided =
        failure != failures_.end() && now < failure->second.avoided_until;
    auto const is_far_move = memory_zone && *memory_zone != candidate.zone;
    return (avoided ? avoidance_penalty : 0) +
           (is_far_move ? far_move_penalty : 0) +
           (candidate.zone == zone_ ? 0 : zone_penalty);
}

auto replica_table::plain_score(replica const& candidate, time_point now) const
    -> double
{
    auto const slots = std::max(1U, candidate.slots);
    auto busy = load_of(candidate.id, now).requests;
    auto const word = stated_.find(candidate.id);
    if (word != stated_.end() && now - word->second.at <= stated_load_life)
    {
        auto const& load = word->second.load;
        busy = std::max(busy, load.running + load.waiting);
    }
    return static_cast<double>(busy) / slots +
           penalty(candidate, std::nullopt, now);
}

auto replica_table::memory_share(
    replica const& candidate,
    placement_need const& need,
    engine_traits const& engine,
    time_point now) const -> double
{
    auto const used =
        load_of(candidate.id, now).memory_tokens + need.memory_tokens;
    return engine.memory_tokens > 0 ? used / engine.memory_tokens : 0;
}

auto replica_table::engine_score(
    replica const& candidate,
    placement_need const& need,
    engine_traits const& engine,
    time_point now) const -> double
{
    auto const load = load_of(candidate.id, now);
    auto const share = memory_share(candidate, need, engine, now);
    auto const overflow = std::max(0.0, share - full_share);
    auto const unread = engine.memory_tokens > 0
                            ? load.unread_tokens / engine.memory_tokens
                            : 0;
    auto const slots = std::max(1U, candidate.slots);
    auto const places = (static_cast<double>(load.requests) + 1) / slots;
    auto const crowded = std::max(0.0, places - 1);
    return share + unread + overflow_weight * (overflow + crowded) +
           penalty(candidate, need.memory_zone, now);
}

auto replica_table::choose(
    placement_need const& need,
    std::optional<engine_traits> const& engine,
    time_point now) -> std::optional<placement>
{
    auto best = std::optional<placement>{};
    auto candidates = std::size_t{0};
    auto tie = std::uniform_real_distribution<double>{0, tie_span};
    for (auto const& [id, each] : replicas_)
    {
        auto const usable = each.service == need.service && !each.leaving &&
                            !need.excluded.contains(id);
        if (!usable)
        {
            continue;
        }
        ++candidates;
        auto const score = (engine ? engine_score(each, need, *engine, now)
                                   : plain_score(each, now)) +
                           tie(generator_);
        if (!best || score < best->score)
        {
            best = placement{
                each, score,
                engine ? memory_share(each, need, *engine, now) : 0, 0};
        }
    }
    if (best)
    {
        best->candidates = candidates;
    }
    return best;
}

} // namespace sapphirereel::relay
