#include "sapphirereel/relay/dispatch_policy.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Weight of a new sample in the moving average.
constexpr auto sample_weight = 0.05;

/// Bounds to which a sample is clamped, in microseconds per token.
constexpr auto min_microseconds_per_token = 20.0;
constexpr auto max_microseconds_per_token = 1'000.0;

/// Maximum share of a replica's memory in use for a stream that has not waited,
/// and its increase per second of waiting.
constexpr auto initial_memory_share = 1.0;
constexpr auto memory_share_per_second = 0.1;

/// Expected start, as a fraction of the target latency, up to which a late
/// stream is sent: it does not hold up streams that can still start in time.
constexpr auto late_start_factor = 0.4;

/// Wait, as a multiple of the target latency, after which a stream is sent
/// however late it starts: callers disconnect if they receive nothing.
constexpr auto max_hold_factor = 2.0;

} // namespace

auto prefill_pace::add_sample(double tokens, duration took) -> void
{
    if (tokens <= 0)
    {
        return;
    }
    auto const sample = std::clamp(
        std::chrono::duration<double, std::micro>(took).count() / tokens,
        min_microseconds_per_token, max_microseconds_per_token);
    microseconds_per_token_ +=
        sample_weight * (sample - microseconds_per_token_);
}

auto prefill_pace::time_for(double tokens) const -> duration
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(
            tokens * microseconds_per_token_));
}

auto max_memory_share(duration waited, double reserved_share) -> double
{
    return initial_memory_share - reserved_share +
           memory_share_per_second *
               std::chrono::duration<double>(waited).count();
}

auto should_dispatch(dispatch_estimate const& estimate) -> bool
{
    if (estimate.memory_share >
        max_memory_share(estimate.waited, estimate.reserved_share))
    {
        return false;
    }
    auto const starts_in_time =
        estimate.waited + estimate.expected_start <= estimate.target_latency;
    auto const is_short =
        estimate.expected_start <= estimate.target_latency * late_start_factor;
    auto const caller_may_disconnect =
        estimate.waited >= estimate.target_latency * max_hold_factor;
    return starts_in_time || is_short || caller_may_disconnect;
}

} // namespace sapphirereel::relay
