#include "sapphirereel/relay/stream_position.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Whether a block has a line with data; one without is a comment.
auto carries_data(std::string_view block) -> bool
{
    constexpr auto name = std::string_view{"data"};
    return block.starts_with(name) ||
           block.find("\ndata") != std::string_view::npos;
}

} // namespace

auto read_position(std::string_view text) -> std::optional<std::uint64_t>
{
    auto number = std::uint64_t{0};
    auto const* const end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, number);
    return read.ec == std::errc{} && read.ptr == end ? std::optional{number}
                                                     : std::nullopt;
}

auto check_position(route const& of, caller_request& request)
    -> std::optional<http::request_error>
{
    auto const error = std::exchange(request.position_error, std::nullopt);
    if (!of.may_resume)
    {
        request.last_event.reset();
        return std::nullopt;
    }
    if (!error)
    {
        return std::nullopt;
    }
    return http::request_error{400, *error};
}

auto next_position(cut_stream const& cut)
    -> tl::expected<std::optional<std::uint64_t>, resume_obstacle>
{
    if (!cut.may_resume)
    {
        return tl::unexpected(resume_obstacle::runs_once);
    }
    if (cut.has_begun && !cut.last_event)
    {
        return tl::unexpected(resume_obstacle::no_position);
    }
    if (cut.runs >= cut.max_attempts)
    {
        return tl::unexpected(resume_obstacle::no_attempt);
    }
    return cut.last_event;
}

auto preceding_tokens(caller_request const& request, double tokens_per_event)
    -> double
{
    auto const size = request.generation.value_or(generation_size{});
    auto const position = static_cast<double>(request.last_event.value_or(0));
    return std::clamp(
        position * tokens_per_event, 0.0, std::max(0.0, size.most_output));
}

auto action_for(
    event_sequence const& events, raw_event const& block, bool may_resume)
    -> block_action
{
    if (may_resume && !block.number && !carries_data(block.bytes))
    {
        return events.has_run_begun() ? block_action::pass_on
                                      : block_action::drop;
    }
    if (may_resume && !block.number && events.awaits_number())
    {
        return block_action::abort_unnumbered;
    }
    switch (events.classify(block.number))
    {
    case event_order::duplicate:
        return block_action::drop;
    case event_order::after_gap:
        return block_action::abort_after_gap;
    case event_order::first:
    case event_order::next:
        break;
    }
    return block_action::forward;
}

} // namespace sapphirereel::relay
