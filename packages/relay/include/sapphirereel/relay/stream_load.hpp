/// \file
/// Defines the load that a running stream adds to its replica.
#ifndef SAPPHIREREEL_RELAY_STREAM_LOAD_HPP
#define SAPPHIREREEL_RELAY_STREAM_LOAD_HPP

#include "sapphirereel/core/length_estimate.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/request_admission.hpp"

namespace sapphirereel::relay {

/// Expected output of a new stream, in tokens, from the lengths learned for its
/// route and the caller's hint, if there is one.
auto expected_output(length_curve const& learned, generation_size const& size)
    -> double;

/// Memory by which a stream loads its replica, in tokens, once it has produced
/// `output_tokens`: what it holds and a part of the output still expected.
auto counted_memory_tokens(
    generation_size const& size, double expected, double output_tokens)
    -> double;

/// Registers the load of one stream at its replica and keeps it up to date.
class stream_load
{
public:
    explicit stream_load(replica_table& table);
    ~stream_load();
    stream_load(stream_load const&) = delete;
    auto operator=(stream_load const&) -> stream_load& = delete;

    /// Registers the stream's load at a replica, and removes it from the
    /// previous one.
    auto place(endpoint_id const& at, replica_load const& load) -> void;

    /// Records that the prompt has been processed.
    auto prefill_completed() -> void;

    /// Sets the memory by which the stream loads the replica and the memory
    /// that it holds, in tokens. Small changes are ignored.
    auto update(double memory_tokens, double held_tokens) -> void;

    auto release() -> void;

private:
    replica_table* table_;
    endpoint_id at_;
    replica_load counted_;
};

} // namespace sapphirereel::relay

#endif
