#include "sapphirereel/relay/pause_estimate.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Least number of events of a run that is measured.
constexpr auto min_events = std::uint64_t{10};

/// Runs that the estimate remembers.
constexpr auto max_runs = std::size_t{64};

/// Runs from which on the estimate may state that a replica does not hold a
/// target, and those from which on it replaces the assumption. A tenth of few
/// runs is no run.
constexpr auto min_runs = std::size_t{8};
constexpr auto min_runs_to_decide = std::size_t{32};

/// Pace up to which a replica is assumed to hold any target, and the one from
/// which on it is assumed not to, in percent.
constexpr auto assumed_good_pace = 105.0;
constexpr auto assumed_bad_pace = 120.0;

/// Probability of a long pause assumed at the latter.
constexpr auto assumed_probability = 0.2;

/// Largest probability of a long pause at which a replica holds a target.
constexpr auto max_probability = 0.1;

auto assumed_at(double usual_pace) -> double
{
    auto const share = (usual_pace - assumed_good_pace) /
                       (assumed_bad_pace - assumed_good_pace);
    return assumed_probability * std::clamp(share, 0.0, 1.0);
}

} // namespace

auto run_pauses::add(duration pause) -> void
{
    ++count_;
    longest_ = std::max(longest_, pause);
}

auto run_pauses::exclude() -> void
{
    is_excluded_ = true;
}

auto run_pauses::longest() const -> std::optional<duration>
{
    auto const is_measured = !is_excluded_ && count_ + 1 >= min_events;
    return is_measured ? std::optional{longest_} : std::nullopt;
}

auto pause_estimate::add_run(duration longest, double usual_pace) -> void
{
    auto const ms = std::chrono::duration<double, std::milli>(longest).count();
    auto const run = measured_run{ms * 100 / usual_pace, usual_pace};
    if (runs_.size() < max_runs)
    {
        runs_.push_back(run);
    }
    else
    {
        pace_sum_ -= runs_[next_].usual_pace;
        runs_[next_] = run;
        next_ = (next_ + 1) % max_runs;
    }
    pace_sum_ += usual_pace;
    pauses_ms_.clear();
    for (auto const& each : runs_)
    {
        pauses_ms_.push_back(each.pause_ms);
    }
    std::sort(pauses_ms_.begin(), pauses_ms_.end());
}

auto pause_estimate::long_pause_probability(
    double usual_pace, duration target) const -> double
{
    if (runs_.size() < min_runs)
    {
        return assumed_at(usual_pace);
    }
    auto const target_ms =
        std::chrono::duration<double, std::milli>(target).count();
    auto const first_long = std::upper_bound(
        pauses_ms_.begin(), pauses_ms_.end(), target_ms * 100 / usual_pace);
    auto const runs = static_cast<double>(runs_.size());
    auto const share =
        static_cast<double>(pauses_ms_.end() - first_long) / runs;
    // A run takes longer on a slower replica, so that it coincides with more
    // slow periods and prompts than the measured runs did.
    auto const exposure = usual_pace * runs / pace_sum_;
    auto const measured = std::min(1.0, share * exposure);
    return runs_.size() < min_runs_to_decide
               ? std::max(measured, assumed_at(usual_pace))
               : measured;
}

auto pause_estimate::holds(double usual_pace, duration target) const -> bool
{
    return long_pause_probability(usual_pace, target) <= max_probability;
}

} // namespace sapphirereel::relay
