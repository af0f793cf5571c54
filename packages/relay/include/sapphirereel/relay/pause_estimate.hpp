/// \file
/// Defines the estimate of how probable a long pause between two events of a
/// stream is on a replica of a known pace.
#ifndef SAPPHIREREEL_RELAY_PAUSE_ESTIMATE_HPP
#define SAPPHIREREEL_RELAY_PAUSE_ESTIMATE_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace sapphirereel::relay {

/// The longest pause between two events of one run on one replica.
class run_pauses
{
public:
    /// Adds the time between two consecutive events of the run.
    auto add(duration pause) -> void;

    /// Excludes the run: a pause was the caller's, who reads slowly.
    auto exclude() -> void;

    /// The longest one; none if it is excluded or the run had too few events to
    /// say something about longer runs.
    [[nodiscard]] auto longest() const -> std::optional<duration>;

private:
    std::uint64_t count_ = 0;
    duration longest_{0};
    bool is_excluded_ = false;
};

/// The longest pauses of a service's last runs, each divided by the usual pace
/// of its replica.
class pause_estimate
{
public:
    /// Adds a run's longest pause, on a replica of a usual pace in percent.
    auto add_run(duration longest, double usual_pace) -> void;

    /// Probability that a run has a longer pause than `target` on a replica of
    /// a usual pace in percent. Until enough runs have been measured, replicas
    /// that are clearly slower than usual are assumed not to hold the target.
    [[nodiscard]] auto long_pause_probability(
        double usual_pace, duration target) const -> double;

    /// Whether nine of ten runs on such a replica keep within the target.
    [[nodiscard]] auto holds(double usual_pace, duration target) const -> bool;

private:
    struct measured_run
    {
        /// Longest pause in milliseconds that a replica of pace 100 would have
        /// had.
        double pause_ms = 0;
        double usual_pace = 0;
    };

    /// A ring of the last runs.
    std::vector<measured_run> runs_;
    std::size_t next_ = 0;
    double pace_sum_ = 0;
    /// The pauses of the runs in ascending order.
    std::vector<double> pauses_ms_;
};

} // namespace sapphirereel::relay

#endif
