#include "sapphirereel/wire/event_codec.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

auto request() -> generation_request
{
    auto made = generation_request{};
    made.attachment = attachment_id{4};
    made.facts.model = model_name{"m"};
    made.content = digest{"c"};
    made.path = "/v1/chat/completions";
    made.body = "{}";
    made.priority = -1;
    made.prompt_tokens = 7;
    made.deadline = time_point{std::chrono::seconds{9}};
    made.buffered = true;
    made.resume = resume_point{};
    made.prompt_parts = {digest{"a"}, digest{"b"}};
    return made;
}

// A trace would replay to other decisions than those that were recorded.
TEST(event_codec, generation_request_survives_the_trace)
{
    auto const json = nlohmann::json(request());
    EXPECT_EQ(json.get<generation_request>(), request());
}

// Traces written before prompt parts were recorded could not be replayed.
TEST(event_codec, reads_a_generation_request_without_prompt_parts)
{
    auto json = nlohmann::json(request());
    json.erase("prompt_parts");
    auto expected = request();
    expected.prompt_parts.clear();
    EXPECT_EQ(json.get<generation_request>(), expected);
}

} // namespace
} // namespace sapphirereel
