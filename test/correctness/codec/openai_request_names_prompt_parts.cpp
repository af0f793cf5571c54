#include "sapphirereel/codec/content_digest.hpp"
#include "sapphirereel/codec/openai_request.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::codec {
namespace {

using nlohmann::json;

auto parts_of(openai_kind kind, json const& body) -> std::vector<digest>
{
    return parse_openai_request(kind, body.dump()).value().prompt_parts;
}

auto chat(std::size_t messages) -> json
{
    auto body = json{{"model", "m"}, {"messages", json::array()}};
    for (auto i = std::size_t{0}; i < messages; ++i)
    {
        body["messages"].push_back(
            {{"role", "user"}, {"content", std::to_string(i)}});
    }
    return body;
}

auto digest_of(json const& message) -> digest
{
    return content_digest(message.dump());
}

// Requests that share a message would not be seen to share it.
TEST(openai_prompt_parts, are_the_messages_but_the_last)
{
    auto const body = chat(3);
    auto const& messages = body["messages"];
    EXPECT_EQ(
        parts_of(openai_kind::chat, body),
        (std::vector{digest_of(messages[0]), digest_of(messages[1])}));
    EXPECT_TRUE(parts_of(openai_kind::chat, chat(1)).empty());
}

// The prompt of a text completion would be taken for one that others share.
TEST(openai_prompt_parts, of_a_text_completion_are_none)
{
    auto const body = json{{"model", "m"}, {"prompt", "p"}};
    EXPECT_TRUE(parts_of(openai_kind::text, body).empty());
}

// A caller could fill the daemons' records with one long chat.
TEST(openai_prompt_parts, are_bounded)
{
    EXPECT_EQ(parts_of(openai_kind::chat, chat(65)).size(), 64U);
    EXPECT_EQ(parts_of(openai_kind::chat, chat(500)).size(), 64U);
}

} // namespace
} // namespace sapphirereel::codec
