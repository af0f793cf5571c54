/// \file
/// Defines the candidates of a placement and the order in which they are
/// asked.
#ifndef SAPPHIREREEL_CORE_PLACEMENT_CANDIDATE_HPP
#define SAPPHIREREEL_CORE_PLACEMENT_CANDIDATE_HPP

#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <random>
#include <vector>

namespace sapphirereel {

/// How far a replica is from the entry daemon.
enum class zone_distance
{
    same_zone,
    same_region,
    other_region
};

/// A replica that may run the stream, as seen by the entry daemon.
struct placement_candidate
{
    endpoint_id replica;
    /// Home daemon, which keeps the replica's ledger; empty where unknown.
    daemon_id home;
    zone_distance distance = zone_distance::same_zone;
    /// Prompt tokens that the replica probably has cached.
    std::uint32_t cached_tokens = 0;
    /// Whether the model and adapter are loaded already.
    bool loaded = true;
    /// Whether outlier ejection has ejected the replica.
    bool ejected = false;
    /// Share of its normal traffic that slow start allows, 0 to 1.
    double slow_start_share = 1;
    auto operator<=>(placement_candidate const&) const = default;
};

using placement_candidates = std::vector<placement_candidate>;

/// Cost or gain of each property of a candidate, in shares of free memory.
struct candidate_weights
{
    double same_region = 0.02;
    double other_region = 0.5;
    /// For a prompt that is cached whole.
    double cached_prompt = 0.2;
    double not_loaded = 0.6;
    auto operator<=>(candidate_weights const&) const = default;
};

/// Cost of a candidate for a prompt, before its headroom is known; lower is
/// better.
auto candidate_cost(
    placement_candidate const& candidate,
    std::uint32_t prompt_tokens,
    candidate_weights const& weights) -> double;

/// Removes ejected candidates unless all are ejected, shuffles the rest, puts
/// replicas in slow start behind the others with a probability by their share,
/// puts far or unloaded replicas last, and moves a candidate that is clearly
/// cheapest (by a cached prompt or a loaded model) to the front.
auto ordered_candidates(
    placement_candidates candidates,
    std::uint32_t prompt_tokens,
    candidate_weights const& weights,
    std::mt19937_64& generator) -> placement_candidates;

} // namespace sapphirereel

#endif
