/// \file
/// Defines the dispatch policy for streams: whether a stream is sent to the
/// best replica at the moment or held for a better one. A queue at a replica
/// can't be reordered; held streams can.
#ifndef SAPPHIREREEL_RELAY_DISPATCH_POLICY_HPP
#define SAPPHIREREEL_RELAY_DISPATCH_POLICY_HPP

#include "sapphirereel/core/clock.hpp"

namespace sapphirereel::relay {

/// Estimates how long a service's replicas take to process prompts, from the
/// time between sending a stream and its first event.
class prefill_pace
{
public:
    /// Adds a sample: before the stream's first event, `tokens` prompt tokens
    /// had to be processed, its own included, which took `took`.
    auto add_sample(double tokens, duration took) -> void;

    [[nodiscard]] auto time_for(double tokens) const -> duration;

private:
    /// Moving average of the samples, and the estimate before the first one.
    double microseconds_per_token_ = 150;
};

/// What a stream can expect of the best replica at the moment.
struct dispatch_estimate
{
    /// Time since the request arrived.
    duration waited{0};
    /// Target time to the first event; a later one is worth less.
    duration target_latency{0};
    /// Expected time to the first event if the stream is sent now.
    duration expected_start{0};
    /// Share of the replica's memory in use, the stream included.
    double memory_share = 0;
    /// Share of the replica's memory that the stream leaves free for more
    /// urgent ones.
    double reserved_share = 0;
    auto operator<=>(dispatch_estimate const&) const = default;
};

/// Maximum share of a replica's memory in use for a stream to be sent there
/// after it has waited for `waited`. It increases with the wait, so that small
/// streams don't starve large ones, nor urgent streams less urgent ones, which
/// leave `reserved_share` free.
auto max_memory_share(duration waited, double reserved_share = 0) -> double;

/// Whether a stream is sent now: if it starts in time, if its late start hardly
/// delays others, or if its caller is likely to disconnect soon.
auto should_dispatch(dispatch_estimate const& estimate) -> bool;

} // namespace sapphirereel::relay

#endif
