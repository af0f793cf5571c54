#include "sapphirereel/relay/load_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace sapphirereel::relay {
namespace {

/// Weight of a new sample in the moving average of the service time.
constexpr auto sample_weight = 0.05;

/// Distance from the lowest score, as a share of a replica's capacity, above
/// which a candidate is not drawn. Less than the penalties that choose between
/// zones and between paces of replicas (0.4 and more), which must keep their
/// effect when loads are uncertain.
constexpr auto max_uncertainty = 0.3;

auto lowest_of(std::vector<scored_candidate> const& candidates) -> std::size_t
{
    auto const lowest = std::min_element(
        candidates.begin(), candidates.end(),
        [](scored_candidate const& one, scored_candidate const& other) {
            return one.score < other.score;
        });
    return static_cast<std::size_t>(lowest - candidates.begin());
}

/// The score that the lowest candidates reach if `requests` are placed where
/// the score is lowest at each moment. `sorted` is in the order of scores.
auto level_after(std::vector<scored_candidate> const& sorted, double requests)
    -> double
{
    auto capacity = 0.0;
    auto weighted_scores = 0.0;
    auto level = sorted.front().score;
    for (auto const& each : sorted)
    {
        if (capacity > 0 && each.score >= level)
        {
            break;
        }
        capacity += each.capacity;
        weighted_scores += each.capacity * each.score;
        level = (requests + weighted_scores) / capacity;
    }
    return level;
}

} // namespace

auto service_time::add_sample(duration took) -> void
{
    if (took <= duration{0})
    {
        return;
    }
    auto const before = mean_.value_or(took);
    mean_ = before + std::chrono::duration_cast<duration>(
                         (took - before) * sample_weight);
}

auto service_time::mean() const -> std::optional<duration>
{
    return mean_;
}

auto remaining_share(duration age, duration service_time) -> double
{
    auto const ages = std::max(age, duration{0}) /
                      std::chrono::duration<double, duration::period>(
                          std::max(service_time, duration{1}));
    return std::exp(-ages);
}

auto estimated_requests(replica_counts const& counts, others_load const& others)
    -> double
{
    auto const mean = others.per_slot * counts.slots;
    auto const counted =
        counts.own + mean + (counts.others - mean) * others.known_share;
    if (!counts.stated)
    {
        return counted;
    }
    auto const weight =
        remaining_share(counts.stated->age, others.service_time);
    return counted + weight * (counts.stated->requests - counted);
}

auto expected_share(
    std::vector<scored_candidate> const& candidates, double requests)
    -> std::vector<double>
{
    auto shares = std::vector<double>(candidates.size(), 0.0);
    auto const lowest = lowest_of(candidates);
    if (candidates[lowest].is_strained || requests <= 0)
    {
        shares[lowest] = requests;
        return shares;
    }
    auto const highest = candidates[lowest].score + max_uncertainty;
    auto const is_eligible = [&](scored_candidate const& each) {
        return !each.is_strained && each.score <= highest;
    };
    auto sorted = std::vector<scored_candidate>{};
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(sorted),
        is_eligible);
    std::sort(sorted.begin(), sorted.end());
    auto const level = level_after(sorted, requests);
    std::transform(
        candidates.begin(), candidates.end(), shares.begin(),
        [&](scored_candidate const& each) {
            return is_eligible(each)
                       ? std::max(0.0, level - each.score) * each.capacity
                       : 0.0;
        });
    return shares;
}

auto choose_evenly(
    std::vector<scored_candidate> const& candidates,
    double unseen_requests,
    std::mt19937_64& generator) -> std::size_t
{
    auto const lowest = lowest_of(candidates);
    if (unseen_requests <= 0 || candidates[lowest].is_strained)
    {
        return lowest;
    }
    auto const shares = expected_share(candidates, unseen_requests);
    auto draw =
        std::discrete_distribution<std::size_t>{shares.begin(), shares.end()};
    return draw(generator);
}

auto busiest_over_mean(std::vector<double> const& loads) -> double
{
    auto const sum = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (sum <= 0)
    {
        return 0;
    }
    auto const busiest = *std::max_element(loads.begin(), loads.end());
    return busiest * static_cast<double>(loads.size()) / sum;
}

} // namespace sapphirereel::relay
