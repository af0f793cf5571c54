#include "sapphirereel/relay/dispatch_policy.hpp"

#include <algorithm>

namespace sapphirereel::relay {
namespace {

/// Weight of one more observation.
constexpr auto pace_weight = 0.05;

/// Bounds of what is believed, in microseconds a token.
constexpr auto least_pace = 20.0;
constexpr auto most_pace = 1'000.0;

/// Share of a replica's memory that is filled without a wait, and what a second
/// of waiting adds.
constexpr auto least_full_share = 1.0;
constexpr auto share_per_second = 0.1;

/// Expected start of a late stream, as a share of the target latency, up to
/// which those that can still be in time are not held up by it.
constexpr auto late_start_share = 0.4;

/// Wait, as a multiple of the target latency, from which a stream is sent
/// however late it starts: callers leave when they hear nothing.
constexpr auto longest_hold = 2.0;

} // namespace

auto prefill_pace::add_sample(double tokens, duration took) -> void
{
    if (tokens <= 0)
    {
        return;
    }
    auto const seen = std::clamp(
        std::chrono::duration<double, std::micro>(took).count() / tokens,
        least_pace, most_pace);
    microseconds_per_token_ += pace_weight * (seen - microseconds_per_token_);
}

auto prefill_pace::time_for(double tokens) const -> duration
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(
            tokens * microseconds_per_token_));
}

auto max_memory_share(duration waited) -> double
{
    return least_full_share +
           share_per_second * std::chrono::duration<double>(waited).count();
}

auto should_dispatch(dispatch_estimate const& prospect) -> bool
{
    if (prospect.memory_share > max_memory_share(prospect.waited))
    {
        return false;
    }
    auto const starts_in_time =
        prospect.waited + prospect.expected_start <= prospect.target_latency;
    auto const is_short =
        prospect.expected_start <= prospect.target_latency * late_start_share;
    auto const would_lose_caller =
        prospect.waited >= prospect.target_latency * longest_hold;
    return starts_in_time || is_short || would_lose_caller;
}

} // namespace sapphirereel::relay
