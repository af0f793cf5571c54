#include "sapphirereel/standins/engine_messages.hpp"

#include "sapphirereel/codec/sse.hpp"

#include <algorithm>
#include <numeric>
#include <optional>

namespace sapphirereel::standins {
namespace {

auto optional_count(nlohmann::json const& body, char const* name)
    -> std::optional<std::uint64_t>
{
    auto const found = body.find(name);
    if (found == body.end() || found->is_null())
    {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

auto set_length(
    run_submission& submission,
    nlohmann::json const& body,
    std::uint64_t max_length) -> void
{
    auto const natural =
        optional_count(body, "standin_length")
            .value_or(generation_length(submission.prompt, max_length));
    auto const completion = optional_count(body, "max_completion_tokens");
    auto const limit =
        completion ? completion : optional_count(body, "max_tokens");
    submission.length = std::min(natural, limit.value_or(natural));
    submission.finish_reason = submission.length < natural ? "length" : "stop";
}

auto read_extension(nlohmann::json const& extension, completion_request& out)
    -> void
{
    out.submission.run = run_id{extension.at("run").get<std::string>()};
    out.submission.priority = extension.value("priority", 0);
    out.attachment = extension.value("attachment", out.attachment);
    auto const resume = extension.find("resume");
    if (resume != extension.end() && !resume->is_null())
    {
        out.submission.resume_text = resume->at("text").get<std::string>();
        out.submission.resume_tokens =
            resume->at("tokens").get<std::uint64_t>();
    }
}

auto usage_of(engine_run const& run) -> nlohmann::json
{
    auto const prompt = prompt_tokens(run.submission.prompt);
    auto const completion = run.chain.index();
    return {
        {"prompt_tokens", prompt},
        {"completion_tokens", completion},
        {"total_tokens", prompt + completion}};
}

auto envelope(run_submission const& submission, bool whole) -> nlohmann::json
{
    auto const* const chat =
        whole ? "chat.completion" : "chat.completion.chunk";
    return {
        {"id", submission.run.str()},
        {"object", submission.chat ? chat : "text_completion"},
        {"model", submission.model}};
}

auto choice_of(
    bool chat,
    char const* chat_key,
    std::string const& text,
    nlohmann::json finish_reason) -> nlohmann::json
{
    auto choice = nlohmann::json{
        {"index", 0}, {"finish_reason", std::move(finish_reason)}};
    if (chat)
    {
        choice[chat_key] = {{"role", "assistant"}, {"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    return choice;
}

} // namespace

auto read_completion_request(
    nlohmann::json const& body, bool chat, std::uint64_t max_length)
    -> completion_request
{
    auto request = completion_request{};
    request.submission.prompt = prompt_of(body);
    request.submission.model = body.value("model", std::string{});
    request.stream = body.value("stream", false);
    request.submission.chat = chat;
    set_length(request.submission, body, max_length);
    auto const extension = body.find("sapphirereel");
    if (extension != body.end())
    {
        read_extension(*extension, request);
    }
    return request;
}

auto token_event_text(engine_run const& run, std::size_t position)
    -> std::string
{
    auto const is_last = run.has_ended() && position + 1 == run.tokens.size();
    auto const finish = is_last ? nlohmann::json(run.submission.finish_reason)
                                : nlohmann::json(nullptr);
    auto chunk = envelope(run.submission, false);
    chunk["choices"] = nlohmann::json::array({choice_of(
        run.submission.chat, "delta", run.tokens[position], finish)});
    auto const index = run.submission.resume_tokens + position;
    auto event = codec::sse_event{};
    event.id = run.submission.run.str() + ":" + std::to_string(index);
    event.data = chunk.dump();
    return codec::write_sse(event);
}

auto closing_events_text(engine_run const& run) -> std::string
{
    auto chunk = envelope(run.submission, false);
    chunk["choices"] = nlohmann::json::array();
    chunk["usage"] = usage_of(run);
    auto usage = codec::sse_event{};
    usage.data = chunk.dump();
    auto end = codec::sse_event{};
    end.data = "[DONE]";
    return codec::write_sse(usage) + codec::write_sse(end);
}

auto whole_answer(engine_run const& run) -> nlohmann::json
{
    auto const text =
        std::accumulate(run.tokens.begin(), run.tokens.end(), std::string{});
    auto answer = envelope(run.submission, true);
    answer["choices"] = nlohmann::json::array({choice_of(
        run.submission.chat, "message", text, run.submission.finish_reason)});
    answer["usage"] = usage_of(run);
    return answer;
}

} // namespace sapphirereel::standins
