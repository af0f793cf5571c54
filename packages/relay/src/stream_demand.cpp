#include "sapphirereel/relay/stream_demand.hpp"

#include "sapphirereel/relay/pace_policy.hpp"
#include "sapphirereel/relay/stream_load.hpp"
#include "sapphirereel/relay/stream_position.hpp"

namespace sapphirereel::relay {

stream_demand::stream_demand(exchange const& of, event_sequence const& events)
    : exchange_(&of)
    , events_(&events)
    , size_(of.request.generation.value_or(generation_size{}))
    , expected_output_(relay::expected_output(
          of.state.output_lengths.curve(length_key()), size_))
{}

auto stream_demand::length_key() const -> stream_kind
{
    return {service_name{exchange_->granted.route->name}, customer_id{}};
}

auto stream_demand::output_tokens() const -> double
{
    auto const traits = exchange_->engine();
    auto const per_event = traits ? traits->tokens_per_event : 1;
    return preceding_tokens(exchange_->request, per_event) +
           static_cast<double>(events_->count()) * per_event;
}

auto stream_demand::held_tokens() const -> double
{
    return size_.prompt + output_tokens();
}

auto stream_demand::counted_tokens() const -> double
{
    return counted_memory_tokens(size_, expected_output_, output_tokens());
}

auto stream_demand::target_pause() const -> std::optional<duration>
{
    auto const traits = exchange_->engine();
    auto const is_long = traits && needs_pace(
                                       expected_output_ - output_tokens(),
                                       traits->tokens_per_event);
    return is_long ? std::optional{exchange_->granted.route->target_pause}
                   : std::nullopt;
}

auto stream_demand::placement() const -> placement_need
{
    return {exchange_->service,
            counted_tokens(),
            size_.prompt,
            exchange_->excluded,
            {},
            target_pause()};
}

} // namespace sapphirereel::relay
