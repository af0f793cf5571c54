/// \file
/// Defines how the pace of replicas affects the choice of one: streams that
/// need pace prefer replicas that hold their target pause, other streams leave
/// these free, and no prompt is added to running streams in a slow period.
#ifndef SAPPHIREREEL_RELAY_PACE_POLICY_HPP
#define SAPPHIREREEL_RELAY_PACE_POLICY_HPP

#include "sapphirereel/relay/dispatch_policy.hpp"
#include "sapphirereel/relay/pause_estimate.hpp"
#include "sapphirereel/relay/replica_pace.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sapphirereel::relay {

/// Whether a stream has so many events to come that a long pause is probable on
/// a replica that does not hold its target.
auto needs_pace(double expected_output, double tokens_per_event) -> bool;

/// Whether a stream may wait for a replica that holds its target pause: it
/// still starts long before its target latency.
auto may_wait_for_pace(dispatch_estimate const& estimate) -> bool;

/// What a choice knows of a request and of its load on one replica.
struct pace_situation
{
    /// Longest pause that the stream should have; none unless it needs pace.
    std::optional<duration> target_pause;
    /// Whether other requests run on the replica.
    bool is_busy = false;
    /// Whether the replica has no memory or slot left for the request.
    bool is_full = false;
    /// Prompt tokens of the request to be read there.
    double prompt_tokens = 0;
    /// These and the prompts before it, as a share of the replica's memory.
    double prompt_share = 0;
};

/// A listed replica, and the prompt tokens that wait there to be read.
struct prompt_queue
{
    replica const* at = nullptr;
    double tokens = 0;
};

/// The paces of all replicas and the pauses of their services. Nothing has an
/// effect on a service whose replicas state no pace.
class pace_policy
{
public:
    [[nodiscard]] auto figures() -> replica_pace&
    {
        return figures_;
    }

    /// Records the pauses of a run that ended or left its replica.
    auto record_run(replica const& at, run_pauses const& pauses) -> void;

    /// Records that a stream which needs pace looks for a replica.
    auto record_need(
        service_name const& of, duration target_pause, time_point now) -> void;

    /// Whether the ranges of paces have to be computed again before a choice.
    [[nodiscard]] auto is_refresh_due(time_point now) const -> bool;

    /// Computes the range of paces in each service from all replicas that
    /// accept work.
    auto refresh(std::vector<prompt_queue> const& listed, time_point now)
        -> void;

    /// Drops what is known of replicas that are not listed or have started
    /// anew.
    auto retain(std::map<endpoint_id, replica> const& listed) -> void;

    /// Addend to a replica's score, as a share of its capacity.
    [[nodiscard]] auto penalty(
        replica const& at, pace_situation const& given, time_point now) const
        -> double;

    /// Whether some of a service's replicas hold a target and others do not.
    [[nodiscard]] auto is_uneven(
        service_name const& of, duration target_pause) const -> bool;

    /// Whether a replica holds a target. One whose pace is unknown has the
    /// median of its service; true in a service without figures.
    [[nodiscard]] auto holds(replica const& at, duration target_pause) const
        -> bool;

private:
    struct pace_range
    {
        double lowest = 0;
        double median = 0;
        double highest = 0;
        /// Prompt tokens that wait at a replica, on average.
        double waiting_tokens = 0;
    };
    struct recent_need
    {
        duration target_pause;
        time_point at;
    };
    struct service_pace
    {
        pause_estimate pauses;
        /// None if no pace of a listed replica is known.
        std::optional<pace_range> range;
        std::optional<recent_need> need;

        [[nodiscard]] auto is_uneven(duration target_pause) const -> bool;
        [[nodiscard]] auto must_keep_free(double usual, time_point now) const
            -> bool;
        [[nodiscard]] auto penalty_for_others(
            double usual, double prompt_tokens, time_point now) const -> double;
        [[nodiscard]] auto penalty_for_need(
            double usual, pace_situation const& given) const -> double;
    };

    replica_pace figures_;
    std::map<service_name, service_pace> services_;
    std::optional<time_point> refreshed_at_;
};

} // namespace sapphirereel::relay

#endif
