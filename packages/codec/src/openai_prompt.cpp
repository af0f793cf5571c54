#include "openai_prompt.hpp"

#include "sapphirereel/codec/content_digest.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace sapphirereel::codec::internal {
namespace {

using nlohmann::json;

constexpr auto source_name = std::string_view{"request body"};

/// Rough length of a token, and tokens that surround a chat message.
constexpr auto bytes_per_token = std::uint64_t{4};
constexpr auto tokens_per_message = std::uint64_t{4};

auto estimate_tokens(std::string_view text) -> std::uint64_t
{
    return (text.size() + bytes_per_token - 1) / bytes_per_token;
}

auto child(std::string const& pointer, std::size_t index) -> std::string
{
    return pointer + "/" + std::to_string(index);
}

/// Reads a prompt and collects what is wrong with it.
class prompt_reader
{
public:
    explicit prompt_reader(json const& body)
        : body_(body)
    {}

    auto read(openai_kind kind) -> prompt_estimate
    {
        if (kind == openai_kind::chat)
        {
            read_messages();
        }
        else
        {
            read_prompt();
        }
        return std::move(estimate_);
    }

private:
    auto report(std::string pointer, std::string message, std::string mend)
        -> void
    {
        estimate_.errors.push_back(body_finding(
            std::move(pointer), std::move(message), std::move(mend)));
    }

    auto read_messages() -> void
    {
        auto const* const messages = find_field(body_, "messages");
        if (messages == nullptr || !messages->is_array() || messages->empty())
        {
            report(
                "/messages", "messages is missing, empty or not an array",
                "send at least one message");
            return;
        }
        for (auto i = std::size_t{0}; i < messages->size(); ++i)
        {
            read_message((*messages)[i], child("/messages", i));
        }
        add_parts(*messages);
    }

    auto add_parts(json const& messages) -> void
    {
        auto const count = std::min(messages.size() - 1, most_prompt_parts);
        for (auto i = std::size_t{0}; i < count; ++i)
        {
            estimate_.parts.push_back(content_digest(messages[i].dump()));
        }
    }

    auto read_message(json const& message, std::string const& pointer) -> void
    {
        if (!message.is_object())
        {
            report(pointer, "the message is not an object", "write an object");
            return;
        }
        auto const* const role = find_field(message, "role");
        if (role == nullptr || !role->is_string())
        {
            report(
                pointer + "/role", "the role is missing or not a string",
                "write system, user, assistant or tool");
        }
        estimate_.tokens += tokens_per_message;
        auto const* const content = find_field(message, "content");
        if (content != nullptr)
        {
            read_content(*content, pointer + "/content");
        }
    }

    auto read_content(json const& content, std::string const& pointer) -> void
    {
        if (content.is_string())
        {
            add_text(content);
            return;
        }
        if (!content.is_array())
        {
            report(
                pointer, "the content is neither a string nor an array",
                "write a string or an array of parts");
            return;
        }
        for (auto i = std::size_t{0}; i < content.size(); ++i)
        {
            auto const& part = content[i];
            if (!part.is_object())
            {
                report(
                    child(pointer, i), "the part is not an object",
                    "write an object with a type");
                continue;
            }
            auto const* const text = find_field(part, "text");
            if (text != nullptr && text->is_string())
            {
                add_text(*text);
            }
        }
    }

    auto add_text(json const& text) -> void
    {
        estimate_.tokens += estimate_tokens(text.get_ref<std::string const&>());
    }

    auto read_prompt() -> void
    {
        auto const* prompt = find_field(body_, "prompt");
        auto const is_list = prompt != nullptr && prompt->is_array();
        if (is_list && !prompt->empty() && are_tokens(*prompt))
        {
            estimate_.tokens = prompt->size();
            return;
        }
        if (is_list && prompt->size() == 1)
        {
            prompt = &prompt->front();
        }
        if (prompt == nullptr || !prompt->is_string())
        {
            report(
                "/prompt", "the prompt is missing or not one text",
                "send a string or an array of tokens");
            return;
        }
        add_text(*prompt);
    }

    static auto are_tokens(json const& list) -> bool
    {
        return std::all_of(list.begin(), list.end(), [](json const& entry) {
            return entry.is_number_unsigned();
        });
    }

    json const& body_;
    prompt_estimate estimate_;
};

} // namespace

auto body_finding(std::string pointer, std::string message, std::string mend)
    -> finding
{
    return {
        {std::string{source_name}, 0, std::move(pointer)},
        std::move(message),
        std::move(mend)};
}

auto find_field(json const& object, char const* name) -> json const*
{
    auto const found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

auto read_prompt(openai_kind kind, json const& body) -> prompt_estimate
{
    return prompt_reader{body}.read(kind);
}

} // namespace sapphirereel::codec::internal
