/// \file
/// Defines what one stream needs of a replica: memory, prompt and pace, from
/// its size, the learned lengths of streams like it and its output so far.
#ifndef SAPPHIREREEL_RELAY_STREAM_DEMAND_HPP
#define SAPPHIREREEL_RELAY_STREAM_DEMAND_HPP

#include "sapphirereel/relay/event_sequence.hpp"
#include "sapphirereel/relay/exchange.hpp"

#include <optional>

namespace sapphirereel::relay {

/// The demand of one stream. Its exchange and its events outlive it.
class stream_demand
{
public:
    stream_demand(exchange const& of, event_sequence const& events);

    /// Key of the learned output lengths: streams of one route are assumed to
    /// be alike in length.
    [[nodiscard]] auto length_key() const -> stream_kind;

    [[nodiscard]] auto prompt_tokens() const -> double
    {
        return size_.prompt;
    }

    /// Output that the whole stream is expected to have, in tokens.
    [[nodiscard]] auto expected_output() const -> double
    {
        return expected_output_;
    }

    /// Output up to the last event that the caller has, in tokens.
    [[nodiscard]] auto output_tokens() const -> double;

    /// Memory that the run holds, in tokens.
    [[nodiscard]] auto held_tokens() const -> double;

    /// Memory by which the stream loads its replica, in tokens.
    [[nodiscard]] auto counted_tokens() const -> double;

    /// Longest pause that the rest of the run should have; none unless that is
    /// long enough to need pace.
    [[nodiscard]] auto target_pause() const -> std::optional<duration>;

    /// What the stream needs of the replica that it is sent to.
    [[nodiscard]] auto placement() const -> placement_need;

private:
    exchange const* exchange_;
    event_sequence const* events_;
    generation_size size_;
    double expected_output_;
};

} // namespace sapphirereel::relay

#endif
