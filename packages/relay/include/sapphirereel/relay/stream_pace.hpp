/// \file
/// Defines the part of one stream in the choice by pace: whether it waits for a
/// replica that holds its target pause, and the pauses that its runs had.
#ifndef SAPPHIREREEL_RELAY_STREAM_PACE_HPP
#define SAPPHIREREEL_RELAY_STREAM_PACE_HPP

#include "sapphirereel/relay/dispatch_policy.hpp"
#include "sapphirereel/relay/pause_estimate.hpp"
#include "sapphirereel/relay/stream_demand.hpp"

namespace sapphirereel::relay {

/// The pace of one stream's runs. Its exchange and its demand outlive it.
class stream_pace
{
public:
    stream_pace(exchange& of, stream_demand const& demand);

    /// Whether the stream, which has produced no event, waits for a replica
    /// that holds its target pause instead of the chosen one.
    auto waits_for_pace(
        replica const& chosen,
        dispatch_estimate const& estimate,
        time_point now) -> bool;

    /// Counts and logs where a stream that needs pace is sent, if the replicas
    /// state theirs.
    auto record_sent(replica const& target) -> void;

    /// Adds a pause of the present run.
    auto add_pause(duration pause) -> void;

    /// Excludes the present run: its caller reads slowly.
    auto exclude_run() -> void;

    /// Records the pauses of the run that ends at a replica.
    auto end_run(replica const& at) -> void;

private:
    exchange* exchange_;
    stream_demand const* demand_;
    run_pauses pauses_;
    bool has_waited_ = false;
};

} // namespace sapphirereel::relay

#endif
