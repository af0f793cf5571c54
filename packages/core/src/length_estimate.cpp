#include "sapphirereel/core/length_estimate.hpp"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>

namespace sapphirereel {
namespace {

namespace axis = boost::histogram::axis;

/// Exponent of the prior's tail: survival falls as length^-exponent.
constexpr double prior_tail_exponent = 0.5;
constexpr double bins_per_doubling =
    static_cast<double>(length_bins) / 16; // 2^16 is the longest length
constexpr int integration_steps = 32;
constexpr int bisection_steps = 24;

auto length_axis() -> axis::regular<double, axis::transform::log> const&
{
    static auto const lengths = axis::regular<double, axis::transform::log>(
        length_bins, 1.0, longest_length);
    return lengths;
}

auto clamped(double length) -> double
{
    return std::clamp(length, 1.0, longest_length);
}

auto bin_of(double length) -> std::size_t
{
    auto const index = length_axis().index(clamped(length));
    return std::min(static_cast<std::size_t>(index), length_bins - 1);
}

auto prior_hazard() -> double
{
    return 1 - std::exp2(-prior_tail_exponent / bins_per_doubling);
}

auto pooled_hazard(
    internal::length_counts const& counts,
    std::size_t bin,
    double coarser_hazard,
    double pooling_weight) -> double
{
    auto const ended = counts.ended[bin] + pooling_weight * coarser_hazard;
    auto const exposed = counts.exposed[bin] + pooling_weight;
    return ended / exposed;
}

auto decay(internal::length_counts& counts, duration half_life, time_point now)
    -> void
{
    auto const elapsed = now - counts.decayed_at;
    if (elapsed <= duration{0})
    {
        return;
    }
    auto const halves = static_cast<double>(elapsed.count()) /
                        static_cast<double>(half_life.count());
    auto const factor = static_cast<float>(std::exp2(-halves));
    for (auto bin = std::size_t{0}; bin < length_bins; ++bin)
    {
        counts.ended[bin] *= factor;
        counts.exposed[bin] *= factor;
    }
    counts.decayed_at = now;
}

auto add(internal::length_counts& counts, length_observation const& seen)
    -> void
{
    auto const first = bin_of(seen.from);
    auto const last = bin_of(seen.to);
    for (auto bin = first; bin < last; ++bin)
    {
        counts.exposed[bin] += 1;
    }
    if (seen.completed)
    {
        counts.exposed[last] += 1;
        counts.ended[last] += 1;
    }
}

template <class Map>
auto counts_of(Map const& counts, typename Map::key_type const& key)
    -> internal::length_counts
{
    auto const found = counts.find(key);
    return found == counts.end() ? internal::length_counts{} : found->second;
}

} // namespace

auto length_curve::log_survival_at(double length) const -> double
{
    auto const position = std::log2(clamped(length)) * bins_per_doubling;
    auto const edge =
        std::min(static_cast<std::size_t>(position), length_bins - 1);
    auto const fraction = position - static_cast<double>(edge);
    auto const low = log_survival_[edge];
    auto const high = log_survival_[edge + 1];
    return low + (high - low) * fraction;
}

auto length_curve::survival(double from, double to) const -> double
{
    if (to <= from)
    {
        return 1;
    }
    return std::exp(log_survival_at(to) - log_survival_at(from));
}

auto length_curve::remaining(
    double tokens_so_far, double horizon_tokens, double level) const
    -> remaining_length
{
    auto const step = horizon_tokens / integration_steps;
    auto mean = 0.0;
    auto second_moment = 0.0;
    for (auto i = 0; i < integration_steps; ++i)
    {
        auto const middle = (i + 0.5) * step;
        auto const alive = survival(tokens_so_far, tokens_so_far + middle);
        mean += alive * step;
        second_moment += 2 * middle * alive * step;
    }
    auto low = 0.0;
    auto high = horizon_tokens;
    for (auto i = 0; i < bisection_steps; ++i)
    {
        auto const middle = (low + high) / 2;
        auto const ended = 1 - survival(tokens_so_far, tokens_so_far + middle);
        (ended < level ? low : high) = middle;
    }
    return {
        .mean = mean,
        .variance = std::max(0.0, second_moment - mean * mean),
        .quantile = high};
}

auto length_estimator::create(length_settings const& settings)
    -> result<length_estimator>
{
    auto wrong = findings{};
    if (settings.half_life <= duration{0})
    {
        wrong.push_back(
            {.where = {.source = "length", .field = "half_life"},
             .message = "the half-life of lengths is not positive",
             .mend = "give a time above 0"});
    }
    if (!(settings.pooling_weight > 0))
    {
        wrong.push_back(
            {.where = {.source = "length", .field = "pooling_weight"},
             .message = "the pooling weight is not positive",
             .mend = "give a number of observations above 0"});
    }
    if (!wrong.empty())
    {
        return tl::unexpected(std::move(wrong));
    }
    return length_estimator{settings};
}

auto length_estimator::record(
    stream_kind const& kind,
    length_observation const& observation,
    time_point now) -> void
{
    auto& of_service = services_[kind.service];
    decay(of_service, settings_.half_life, now);
    add(of_service, observation);
    auto& of_kind = kinds_[kind];
    decay(of_kind, settings_.half_life, now);
    add(of_kind, observation);
}

auto length_estimator::curve(stream_kind const& kind) const -> length_curve
{
    auto const of_service = counts_of(services_, kind.service);
    auto const of_kind = counts_of(kinds_, kind);
    auto const weight = settings_.pooling_weight;
    auto at_edges = length_curve::log_survival{};
    for (auto bin = std::size_t{0}; bin < length_bins; ++bin)
    {
        auto hazard = prior_hazard();
        hazard = pooled_hazard(of_service, bin, hazard, weight);
        hazard = pooled_hazard(of_kind, bin, hazard, weight);
        at_edges[bin + 1] = at_edges[bin] + std::log1p(-hazard);
    }
    return length_curve{at_edges};
}

} // namespace sapphirereel
