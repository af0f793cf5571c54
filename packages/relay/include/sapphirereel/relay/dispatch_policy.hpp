/// \file
/// Defines when a stream is sent to the best replica there is, and when it
/// waits for a better one: a queue at a replica can't be reordered, a wait here
/// can.
#ifndef SAPPHIREREEL_RELAY_DISPATCH_POLICY_HPP
#define SAPPHIREREEL_RELAY_DISPATCH_POLICY_HPP

#include "sapphirereel/core/clock.hpp"

namespace sapphirereel::relay {

/// How long a service's replicas take to read prompts, learned from the time
/// between sending a stream and its first event.
class prefill_pace
{
public:
    /// A stream had so many tokens to be read before its first event, its own
    /// prompt included, and took so long.
    auto add_sample(double tokens, duration took) -> void;

    [[nodiscard]] auto time_for(double tokens) const -> duration;

private:
    double microseconds_per_token_ = 150;
};

/// What a stream can expect of the best replica at the moment.
struct dispatch_estimate
{
    /// Time since the request came.
    duration waited{0};
    /// Time within which its first event is worth most.
    duration target_latency{0};
    /// Until the first event, were it sent now.
    duration expected_start{0};
    /// Share of the replica's memory in use, the stream included.
    double memory_share = 0;
    auto operator<=>(dispatch_estimate const&) const = default;
};

/// The share of a replica's memory up to which a stream that has waited so long
/// is sent there. It rises with the wait, so that large streams are not passed
/// over for ever by small ones.
auto max_memory_share(duration waited) -> double;

/// Whether a stream is sent now: it starts in time, or delays no other much by
/// starting late, or its caller would soon leave.
auto should_dispatch(dispatch_estimate const& prospect) -> bool;

} // namespace sapphirereel::relay

#endif
