/// \file
/// Defines the messages between an entry daemon and a replica's home daemon.
/// Each is one-way, replies too, and may be lost or repeated.
#ifndef SAPPHIREREEL_CORE_PLACEMENT_MESSAGE_HPP
#define SAPPHIREREEL_CORE_PLACEMENT_MESSAGE_HPP

#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/replica_ledger.hpp"

#include <cstdint>
#include <vector>

namespace sapphirereel {

/// Entry to home: reserve a place for the stream on the replica.
struct reserve_message
{
    endpoint_id replica;
    stream_offer offer;
    auto operator<=>(reserve_message const&) const = default;
};

/// Home to entry: the outcome of a reserve, or a place for a waiting offer.
struct reserve_reply_message
{
    endpoint_id replica;
    run_id run;
    bool accepted = false;
    /// Whether the offer waits at the home; an accepting reply may follow.
    bool queued = false;
    /// Share of memory left over, where accepted.
    float headroom = 0;
    /// Cause and hint, where refused.
    offer_refusal_cause cause = offer_refusal_cause::memory;
    std::uint32_t retry_after_ms = 0;
    auto operator<=>(reserve_reply_message const&) const = default;
};

/// Entry to home: the stream ended, or the reservation is not used.
struct release_message
{
    endpoint_id replica;
    run_id run;
    std::uint32_t output_tokens = 0;
    /// Whether the generation ended by itself, so that its length is known.
    bool completed = false;
    auto operator<=>(release_message const&) const = default;
};

/// Output tokens of one run.
struct run_progress
{
    run_id run;
    std::uint32_t output_tokens = 0;
    auto operator<=>(run_progress const&) const = default;
};

/// Entry to home: the entry's runs on the replica and their lengths.
struct progress_message
{
    endpoint_id replica;
    std::vector<run_progress> runs;
    auto operator<=>(progress_message const&) const = default;
};

/// A running stream in full.
struct announced_stream
{
    stream_offer offer;
    std::uint32_t output_tokens = 0;
    auto operator<=>(announced_stream const&) const = default;
};

/// Entry to home: streams that run on the replica, for a home that has no
/// record of them.
struct announce_message
{
    endpoint_id replica;
    std::vector<announced_stream> streams;
    auto operator<=>(announce_message const&) const = default;
};

/// Home to entry: announce these runs, of which the home has no record.
struct announce_request_message
{
    endpoint_id replica;
    std::vector<run_id> runs;
    auto operator<=>(announce_request_message const&) const = default;
};

} // namespace sapphirereel

#endif
