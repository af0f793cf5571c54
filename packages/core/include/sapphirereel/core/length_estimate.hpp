/// \file
/// Defines the estimator of output lengths, which learns them for each service
/// and customer from ended streams. Example:
/// `estimator.curve(kind).survival(100, 400)` is the probability that a stream
/// with 100 tokens reaches 400.
#ifndef SAPPHIREREEL_CORE_LENGTH_ESTIMATE_HPP
#define SAPPHIREREEL_CORE_LENGTH_ESTIMATE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace sapphirereel {

/// Number of intervals on the logarithmic axis of lengths.
inline constexpr std::size_t length_bins = 48;
/// Upper end of the axis of lengths, in tokens.
inline constexpr double longest_length = 65536;

/// Streams whose lengths are assumed to follow one distribution.
struct stream_kind
{
    service_name service;
    customer_id customer;
    auto operator<=>(stream_kind const&) const = default;
};

/// How many more tokens a stream generates within a horizon.
struct remaining_length
{
    /// Expectation, in tokens.
    double mean = 0;
    /// Variance, in tokens squared.
    double variance = 0;
    /// The requested quantile, in tokens.
    double quantile = 0;
    auto operator<=>(remaining_length const&) const = default;
};

/// Logarithm of the survival function at the edges of the length axis.
class length_curve
{
public:
    using log_survival = std::array<double, length_bins + 1>;

    explicit length_curve(log_survival const& at_edges)
        : log_survival_(at_edges)
    {}

    /// Probability that a stream which has `from` tokens reaches `to`.
    [[nodiscard]] auto survival(double from, double to) const -> double;

    /// Tokens still to come, truncated at a horizon in tokens, so that a heavy
    /// tail beyond it has no weight; `level` is that of the quantile.
    [[nodiscard]] auto remaining(
        double tokens_so_far, double horizon_tokens, double level) const
        -> remaining_length;

    auto operator<=>(length_curve const&) const = default;

private:
    [[nodiscard]] auto log_survival_at(double length) const -> double;

    log_survival log_survival_;
};

/// The observed part of one stream's length, in tokens.
struct length_observation
{
    /// Length at which the observation began; 0 for a new stream.
    double from = 0;
    /// Length at which the observation ended.
    double to = 0;
    /// Whether the generation was complete there, rather than cut short.
    bool completed = false;
    auto operator<=>(length_observation const&) const = default;
};

/// Decay and pooling of the estimator.
struct length_settings
{
    /// Time after which an observation has half of its weight.
    duration half_life = std::chrono::minutes(10);
    /// Number of observations that the estimate of the next coarser level
    /// (customer, service, prior) counts for.
    double pooling_weight = 8;
    auto operator<=>(length_settings const&) const = default;
};

namespace internal {

/// Ended and exposed streams by interval of length: the two sums whose ratio
/// is the hazard.
struct length_counts
{
    std::array<float, length_bins> ended{};
    std::array<float, length_bins> exposed{};
    time_point decayed_at{};
    auto operator<=>(length_counts const&) const = default;
};

} // namespace internal

/// Estimates output lengths by their hazard, so that a stream which was
/// cancelled or moved (a censored observation) counts for the tokens it had.
/// Falls back from customer to service to a heavy-tailed prior where
/// observations are few.
class length_estimator
{
public:
    static auto create(length_settings const& settings)
        -> result<length_estimator>;

    /// Adds the observation of one stream.
    auto record(
        stream_kind const& kind,
        length_observation const& observation,
        time_point now) -> void;

    /// The present estimate for the kind.
    [[nodiscard]] auto curve(stream_kind const& kind) const -> length_curve;

private:
    explicit length_estimator(length_settings const& settings)
        : settings_(settings)
    {}

    length_settings settings_;
    std::map<service_name, internal::length_counts> services_;
    std::map<stream_kind, internal::length_counts> kinds_;
};

} // namespace sapphirereel

#endif
