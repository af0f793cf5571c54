#include "sapphirereel/endpoint/engine_stream.hpp"

#include "stream_decoder.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::endpoints {
namespace {

using internal::decoder_state;
using internal::exchange_end;

/// How much of a refusal's body is kept, in bytes.
constexpr auto max_refusal_bytes = std::size_t{16} << 10;

auto extension_of(run_request const& request) -> nlohmann::json
{
    auto extension = nlohmann::json{
        {"run", request.run.str()},
        {"priority", request.priority},
        {"attachment", request.attachment}};
    if (request.resume)
    {
        extension["resume"] = {
            {"text", request.resume->text}, {"tokens", request.resume->tokens}};
    }
    return extension;
}

auto body_of(run_request const& request)
    -> tl::expected<std::string, std::string>
{
    try
    {
        auto body = nlohmann::json::parse(request.body);
        body["stream"] = true;
        body["sapphirereel"] = extension_of(request);
        return body.dump();
    }
    catch (nlohmann::json::exception const& error)
    {
        return tl::unexpected{std::string{error.what()}};
    }
}

auto end_of_stream(internal::stream_decoder const& decoder) -> stream_end
{
    switch (decoder.state())
    {
    case decoder_state::done:
        return stream_end::finished;
    case decoder_state::superseded:
        return stream_end::superseded;
    case decoder_state::cancelled:
    case decoder_state::refused_by_sink:
        return stream_end::cancelled;
    case decoder_state::open:
    case decoder_state::malformed:
        break;
    }
    return stream_end::lost;
}

/// What a status other than 200 means for a run that was to start.
auto end_of_run(int status) -> stream_end
{
    if (status == 429 || status == 503)
    {
        return stream_end::refused_not_run;
    }
    // 409: a run of this name exists, so it may be going on.
    auto const is_rejection = status >= 400 && status < 500 && status != 409;
    return is_rejection ? stream_end::rejected : stream_end::lost;
}

auto end_of_attachment(int status) -> stream_end
{
    return status == 404 ? stream_end::unknown_run : stream_end::lost;
}

/// One stream's exchange: its decoder, and the body of a refusal.
struct transfer
{
    internal::stream_decoder decoder;
    std::string refusal;

    auto receive(int status, std::string_view piece) -> bool
    {
        if (status == 200)
        {
            return decoder.feed(piece);
        }
        refusal += piece.substr(0, max_refusal_bytes - refusal.size());
        return true;
    }
};

auto outcome_of(
    transfer const& transfer,
    internal::exchange_outcome const& outcome,
    stream_end end_if_not_sent,
    stream_end end_if_refused) -> stream_outcome
{
    auto const next = transfer.decoder.next_index();
    auto const status = outcome.answer.status;
    if (outcome.end == exchange_end::not_sent)
    {
        return {end_if_not_sent, next, 0, outcome.detail};
    }
    auto const is_whole = outcome.end == exchange_end::answered;
    if (is_whole && status != 200)
    {
        return {end_if_refused, next, status, transfer.refusal};
    }
    auto const end = end_of_stream(transfer.decoder);
    auto const stopped_here = end == stream_end::lost &&
                              outcome.end == exchange_end::stopped &&
                              transfer.decoder.state() == decoder_state::open;
    return {
        stopped_here ? stream_end::cancelled : end, next, 0, outcome.detail};
}

} // namespace

engine_stream::engine_stream(socket_address address, timeouts limits)
    : exchange_(std::move(address), limits)
{}

auto engine_stream::run(run_request const& request, token_sink const& sink)
    -> stream_outcome
{
    auto const first = request.resume ? request.resume->tokens : 0;
    auto const body = body_of(request);
    if (!body)
    {
        return {stream_end::rejected, first, 400, body.error()};
    }
    auto const content = call_content{
        "POST", request.path, {{"Content-Type", "application/json"}}, *body};
    auto state = transfer{{request.run, first, sink}, {}};
    auto const outcome =
        exchange_.perform(content, [&](int status, std::string_view piece) {
            return state.receive(status, piece);
        });
    auto const not_sent = exchange_.stopped() ? stream_end::cancelled
                                              : stream_end::refused_not_run;
    return outcome_of(
        state, outcome, not_sent, end_of_run(outcome.answer.status));
}

auto engine_stream::attach(
    attach_request const& request, token_sink const& sink) -> stream_outcome
{
    auto const path = "/v1/runs/" + request.run.str() +
                      "/stream?from=" + std::to_string(request.from) +
                      "&attachment=" + std::to_string(request.attachment);
    auto state = transfer{{request.run, request.from, sink}, {}};
    auto const outcome = exchange_.perform(
        {"GET", path, {}, {}}, [&](int status, std::string_view piece) {
            return state.receive(status, piece);
        });
    // Without a process there is no run either; a silent address may still
    // have both.
    auto const not_sent = exchange_.stopped() ? stream_end::cancelled
                          : outcome.refused   ? stream_end::refused_not_run
                                              : stream_end::lost;
    return outcome_of(
        state, outcome, not_sent, end_of_attachment(outcome.answer.status));
}

auto engine_stream::stop() -> void
{
    exchange_.stop();
}

} // namespace sapphirereel::endpoints
