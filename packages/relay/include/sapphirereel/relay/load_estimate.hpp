/// \file
/// Defines the estimate of a replica's load from counts of known age, and the
/// choice of a replica where the loads are not known exactly.
#ifndef SAPPHIREREEL_RELAY_LOAD_ESTIMATE_HPP
#define SAPPHIREREEL_RELAY_LOAD_ESTIMATE_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace sapphirereel::relay {

/// The time for which a request occupies a replica of a service, as a moving
/// average.
class service_time
{
public:
    /// Adds the time of one request. Times of 0 or less are ignored.
    auto add_sample(duration took) -> void;

    /// None before the first sample.
    [[nodiscard]] auto mean() const -> std::optional<duration>;

private:
    std::optional<duration> mean_;
};

/// Share of the requests in progress that are still in progress after `age`, at
/// a mean service time. 1 for an age of 0.
auto remaining_share(duration age, duration service_time) -> double;

/// What is known of the requests that other daemons have at the replicas of one
/// service.
struct others_load
{
    /// Mean number of their requests per slot of the replicas.
    double per_slot = 0;
    /// Share of their requests that the counts still show; the rest have ended,
    /// and others have begun on any replica.
    double known_share = 1;
    /// Requests that they have placed since their counts, on all replicas that
    /// are compared.
    double unseen_requests = 0;
    duration service_time{0};
    auto operator<=>(others_load const&) const = default;
};

/// Number of requests that a replica stated, and its age.
struct stated_count
{
    /// Requests at the replica, and this daemon's own sends since.
    double requests = 0;
    duration age{0};
    auto operator<=>(stated_count const&) const = default;
};

/// The counts of requests at one replica.
struct replica_counts
{
    /// Requests of this daemon; exact.
    double own = 0;
    /// Requests of all others by their last counts.
    double others = 0;
    double slots = 1;
    std::optional<stated_count> stated;
    auto operator<=>(replica_counts const&) const = default;
};

/// The expected number of requests at a replica. Other daemons' counts
/// approach the mean of the replicas as they age; a stated number approaches
/// the sum of the counts.
auto estimated_requests(replica_counts const& counts, others_load const& others)
    -> double;

/// A replica that may be chosen.
struct scored_candidate
{
    /// Lower is better.
    double score = 0;
    /// Requests that raise the score by 1.
    double capacity = 1;
    /// Whether a further request would exceed a limit of the replica, or the
    /// replica is to be avoided.
    bool is_strained = false;
    auto operator<=>(scored_candidate const&) const = default;
};

/// Requests that each candidate is expected to get if `requests` are placed,
/// each where the score is lowest at that moment. Only candidates within a
/// bounded distance of the lowest score get any. If the candidate with the
/// lowest score is strained, it gets all; otherwise strained ones get none.
auto expected_share(
    std::vector<scored_candidate> const& candidates, double requests)
    -> std::vector<double>;

/// Index of the candidate for a request, while other daemons have placed
/// `unseen_requests` that the scores do not include: the lowest score if there
/// are none, otherwise drawn at random in proportion to `expected_share`.
/// `candidates` must not be empty.
auto choose_evenly(
    std::vector<scored_candidate> const& candidates,
    double unseen_requests,
    std::mt19937_64& generator) -> std::size_t;

/// Highest of the loads over their mean: 1 if all are equal; 0 without load.
auto busiest_over_mean(std::vector<double> const& loads) -> double;

} // namespace sapphirereel::relay

#endif
