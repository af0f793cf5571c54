#include "stream_decoder.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::endpoints::internal {
namespace {

auto read_usage(nlohmann::json const& chunk) -> std::optional<token_usage>
{
    auto const found = chunk.find("usage");
    if (found == chunk.end() || found->is_null())
    {
        return std::nullopt;
    }
    return token_usage{
        found->at("prompt_tokens").get<std::uint64_t>(),
        found->at("completion_tokens").get<std::uint64_t>()};
}

/// The text of a choice, whether of a chat or a plain completion.
auto read_delta(nlohmann::json const& choice) -> std::string
{
    auto const delta = choice.find("delta");
    return delta == choice.end() ? choice.value("text", std::string{})
                                 : delta->value("content", std::string{});
}

auto read_finish_reason(nlohmann::json const& choice) -> std::string
{
    auto const found = choice.find("finish_reason");
    auto const is_absent = found == choice.end() || found->is_null();
    return is_absent ? std::string{} : found->get<std::string>();
}

auto read_event(std::string const& data) -> token_event
{
    auto const chunk = nlohmann::json::parse(data);
    auto event = token_event{};
    event.chunk_json = data;
    event.usage = read_usage(chunk);
    auto const& choices = chunk.at("choices");
    if (!choices.empty())
    {
        event.delta = read_delta(choices.front());
        event.finish_reason = read_finish_reason(choices.front());
    }
    return event;
}

auto token_id(run_id const& run, std::uint64_t index) -> std::string
{
    return run.str() + ":" + std::to_string(index);
}

} // namespace

stream_decoder::stream_decoder(
    run_id run, std::uint64_t next, token_sink const& sink)
    : run_(std::move(run))
    , next_(next)
    , sink_(sink)
{}

auto stream_decoder::feed(std::string_view piece) -> bool
{
    auto const status =
        reader_.feed(piece, [this](auto const& event) { return take(event); });
    if (status == codec::sse_status::too_large)
    {
        return finish(decoder_state::malformed);
    }
    // What follows the end of the stream is read, so that the exchange ends
    // as the engine ends it.
    return status == codec::sse_status::ok || state_ == decoder_state::done;
}

auto stream_decoder::state() const -> decoder_state
{
    return state_;
}

auto stream_decoder::next_index() const -> std::uint64_t
{
    return next_;
}

auto stream_decoder::take(codec::sse_event const& event) -> bool
{
    if (event.event == "superseded")
    {
        return finish(decoder_state::superseded);
    }
    if (event.event == "cancelled")
    {
        return finish(decoder_state::cancelled);
    }
    if (event.data == "[DONE]")
    {
        return finish(decoder_state::done);
    }
    return event.data.empty() || take_chunk(event);
}

auto stream_decoder::take_chunk(codec::sse_event const& event) -> bool
{
    auto const is_token = !event.id.empty();
    if (is_token && event.id != token_id(run_, next_))
    {
        return finish(decoder_state::malformed);
    }
    try
    {
        return deliver(read_event(event.data), is_token);
    }
    catch (nlohmann::json::exception const&)
    {
        return finish(decoder_state::malformed);
    }
}

auto stream_decoder::deliver(token_event const& event, bool is_token) -> bool
{
    auto numbered = event;
    numbered.index = next_;
    next_ += is_token ? 1 : 0;
    return sink_(numbered) || finish(decoder_state::refused_by_sink);
}

auto stream_decoder::finish(decoder_state state) -> bool
{
    state_ = state;
    return false;
}

} // namespace sapphirereel::endpoints::internal
