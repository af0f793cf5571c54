/// \file
/// Defines the decoder of an engine's token stream. It accepts each index
/// once, in order and of one run, and nothing else.
#ifndef SAPPHIREREEL_ENDPOINT_STREAM_DECODER_HPP
#define SAPPHIREREEL_ENDPOINT_STREAM_DECODER_HPP

#include "sapphirereel/codec/sse.hpp"
#include "sapphirereel/endpoint/engine_protocol.hpp"

namespace sapphirereel::endpoints::internal {

/// What the decoder has seen of the stream's end.
enum class decoder_state
{
    open,
    done,
    superseded,
    cancelled,
    refused_by_sink,
    malformed
};

/// Turns pieces of a stream into token events.
class stream_decoder
{
public:
    /// Expects tokens of a run from an index on.
    stream_decoder(run_id run, std::uint64_t next, token_sink const& sink);

    /// Takes a piece; false if no more is wanted.
    auto feed(std::string_view piece) -> bool;

    [[nodiscard]] auto state() const -> decoder_state;
    [[nodiscard]] auto next_index() const -> std::uint64_t;

private:
    auto take(codec::sse_event const& event) -> bool;
    auto take_chunk(codec::sse_event const& event) -> bool;
    auto deliver(token_event const& event, bool is_token) -> bool;
    auto finish(decoder_state state) -> bool;

    run_id run_;
    std::uint64_t next_;
    token_sink const& sink_;
    codec::sse_reader reader_;
    decoder_state state_ = decoder_state::open;
};

} // namespace sapphirereel::endpoints::internal

#endif
