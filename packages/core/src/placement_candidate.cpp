#include "sapphirereel/core/placement_candidate.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirereel {
namespace {

/// Difference in cost from which it overrides the random order.
constexpr double clear_advantage = 0.1;

auto without_ejected(placement_candidates candidates) -> placement_candidates
{
    auto const ejected = [](placement_candidate const& candidate) {
        return candidate.ejected;
    };
    auto const usable =
        !std::all_of(candidates.begin(), candidates.end(), ejected);
    if (usable)
    {
        std::erase_if(candidates, ejected);
    }
    return candidates;
}

/// Puts each replica in slow start behind the others with probability
/// 1 - `slow_start_share`.
auto hold_back_slow_starters(
    placement_candidates& candidates, std::mt19937_64& generator) -> void
{
    auto chance = std::uniform_real_distribution<double>(0, 1);
    std::stable_partition(
        candidates.begin(), candidates.end(),
        [&](placement_candidate const& candidate) {
            return candidate.slow_start_share >= 1 ||
                   chance(generator) < candidate.slow_start_share;
        });
}

} // namespace

auto candidate_cost(
    placement_candidate const& candidate,
    std::uint32_t prompt_tokens,
    candidate_weights const& weights) -> double
{
    auto cost = 0.0;
    if (candidate.distance == zone_distance::same_region)
    {
        cost += weights.same_region;
    }
    if (candidate.distance == zone_distance::other_region)
    {
        cost += weights.other_region;
    }
    if (!candidate.loaded)
    {
        cost += weights.not_loaded;
    }
    if (prompt_tokens > 0)
    {
        auto const cached = std::min(candidate.cached_tokens, prompt_tokens);
        cost -= weights.cached_prompt * cached / prompt_tokens;
    }
    return cost;
}

auto ordered_candidates(
    placement_candidates candidates,
    std::uint32_t prompt_tokens,
    candidate_weights const& weights,
    std::mt19937_64& generator) -> placement_candidates
{
    auto order = without_ejected(std::move(candidates));
    if (order.empty())
    {
        return order;
    }
    std::shuffle(order.begin(), order.end(), generator);
    hold_back_slow_starters(order, generator);
    auto const cost = [&](placement_candidate const& candidate) {
        return candidate_cost(candidate, prompt_tokens, weights);
    };
    // Far or unloaded replicas come last; the others keep the random order.
    std::stable_partition(
        order.begin(), order.end(), [&](placement_candidate const& candidate) {
            return cost(candidate) < clear_advantage;
        });
    auto const cheapest = std::min_element(
        order.begin(), order.end(),
        [&](placement_candidate const& a, placement_candidate const& b) {
            return cost(a) < cost(b);
        });
    if (cost(*cheapest) + clear_advantage < cost(order.front()))
    {
        std::rotate(order.begin(), cheapest, std::next(cheapest));
    }
    return order;
}

} // namespace sapphirereel
