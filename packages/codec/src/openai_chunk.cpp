#include "sapphirereel/codec/openai_chunk.hpp"

#include "sapphirereel/codec/bounded_json.hpp"

#include <nlohmann/json.hpp>

namespace sapphirereel::codec {
namespace {

using nlohmann::json;

auto chunk_error(std::string pointer, std::string message)
    -> tl::unexpected<findings>
{
    return tl::unexpected{findings{
        {{"engine chunk", 0, std::move(pointer)},
         std::move(message),
         "check the engine's version"}}};
}

auto text_at(json const& object, char const* name) -> std::string
{
    auto const found = object.find(name);
    return found != object.end() && found->is_string()
               ? found->get<std::string>()
               : std::string{};
}

auto count_at(json const& object, char const* name) -> std::uint64_t
{
    auto const found = object.find(name);
    return found != object.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

auto read_usage(json const& usage) -> openai_usage
{
    return {
        count_at(usage, "prompt_tokens"), count_at(usage, "completion_tokens"),
        count_at(usage, "total_tokens")};
}

auto read_choice(json const& choice, openai_chunk& chunk) -> void
{
    chunk.has_choice = true;
    chunk.text = text_at(choice, "text");
    auto const delta = choice.find("delta");
    if (delta != choice.end() && delta->is_object())
    {
        chunk.text = text_at(*delta, "content");
    }
    auto const reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string())
    {
        chunk.finish_reason = reason->get<std::string>();
    }
}

auto choice_json(openai_kind kind, openai_chunk const& whole) -> json
{
    auto choice = json{{"index", 0}, {"finish_reason", nullptr}};
    if (whole.finish_reason)
    {
        choice["finish_reason"] = *whole.finish_reason;
    }
    if (kind == openai_kind::chat)
    {
        choice["message"] = {{"role", "assistant"}, {"content", whole.text}};
    }
    else
    {
        choice["text"] = whole.text;
        choice["logprobs"] = nullptr;
    }
    return choice;
}

} // namespace

auto read_openai_chunk(std::string_view data) -> result<openai_chunk>
{
    auto const document = parse_bounded_json(data);
    if (!document || !document->is_object())
    {
        return chunk_error("", "the chunk is not a JSON object");
    }
    auto const& parsed = *document;
    auto const choices = parsed.find("choices");
    if (choices == parsed.end() || !choices->is_array())
    {
        return chunk_error("/choices", "choices is missing or not an array");
    }
    auto chunk = openai_chunk{};
    chunk.id = text_at(parsed, "id");
    chunk.model = text_at(parsed, "model");
    chunk.created = static_cast<std::int64_t>(count_at(parsed, "created"));
    if (!choices->empty())
    {
        if (!choices->front().is_object())
        {
            return chunk_error("/choices/0", "the choice is not an object");
        }
        read_choice(choices->front(), chunk);
    }
    auto const usage = parsed.find("usage");
    if (usage != parsed.end() && usage->is_object())
    {
        chunk.usage = read_usage(*usage);
    }
    return chunk;
}

auto is_usage_chunk(openai_chunk const& chunk) -> bool
{
    return !chunk.has_choice && chunk.usage.has_value();
}

openai_answer::openai_answer(openai_kind kind)
    : kind_(kind)
{}

auto openai_answer::add(openai_chunk const& chunk) -> void
{
    if (whole_.id.empty())
    {
        whole_.id = chunk.id;
        whole_.model = chunk.model;
        whole_.created = chunk.created;
    }
    whole_.text += chunk.text;
    if (chunk.finish_reason)
    {
        whole_.finish_reason = chunk.finish_reason;
    }
    if (chunk.usage)
    {
        whole_.usage = chunk.usage;
    }
}

auto openai_answer::finished() const -> bool
{
    return whole_.finish_reason.has_value();
}

auto openai_answer::text() const -> std::string const&
{
    return whole_.text;
}

auto openai_answer::body() const -> std::string
{
    auto const is_chat = kind_ == openai_kind::chat;
    auto out = json{
        {"id", whole_.id},
        {"object", is_chat ? "chat.completion" : "text_completion"},
        {"created", whole_.created},
        {"model", whole_.model},
        {"choices", json::array({choice_json(kind_, whole_)})}};
    if (whole_.usage)
    {
        out["usage"] = {
            {"prompt_tokens", whole_.usage->prompt_tokens},
            {"completion_tokens", whole_.usage->completion_tokens},
            {"total_tokens", whole_.usage->total_tokens}};
    }
    return out.dump();
}

} // namespace sapphirereel::codec
