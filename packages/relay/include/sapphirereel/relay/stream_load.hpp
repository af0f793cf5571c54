/// \file
/// Defines how much of a replica a stream counts for while it runs.
#ifndef SAPPHIREREEL_RELAY_STREAM_LOAD_HPP
#define SAPPHIREREEL_RELAY_STREAM_LOAD_HPP

#include "sapphirereel/core/length_estimate.hpp"
#include "sapphirereel/relay/replica_table.hpp"
#include "sapphirereel/relay/request_admission.hpp"

namespace sapphirereel::relay {

/// Output that a new stream is expected to make, in tokens: by what streams of
/// its route made, and by the caller's hint where it gave one.
auto expected_output(length_curve const& learned, generation_size const& asked)
    -> double;

/// The memory that a stream counts for, in tokens, once it has made
/// `output_tokens`: what it holds and a part of what may still come.
auto counted_memory_tokens(
    generation_size const& asked, double expected, double output_tokens)
    -> double;

/// Keeps the count of one stream at its replica up to date.
class stream_load
{
public:
    explicit stream_load(replica_table& table);
    ~stream_load();
    stream_load(stream_load const&) = delete;
    auto operator=(stream_load const&) -> stream_load& = delete;

    /// Counts the stream at a replica, and nowhere else from then on.
    auto place(endpoint_id const& at, replica_load const& load) -> void;

    /// The prompt has been read.
    auto prefill_completed() -> void;

    /// Sets the memory that counts and the memory that is held; small changes
    /// are left out.
    auto update(double memory_tokens, double held_tokens) -> void;

    auto release() -> void;

private:
    replica_table* table_;
    endpoint_id at_;
    replica_load counted_;
};

} // namespace sapphirereel::relay

#endif
