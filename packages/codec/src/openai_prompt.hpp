/// \file
/// Defines the reading of the prompt in a request of OpenAI's API, and what the
/// readers of such requests share.
#ifndef SAPPHIREREEL_CODEC_OPENAI_PROMPT_HPP
#define SAPPHIREREEL_CODEC_OPENAI_PROMPT_HPP

#include "sapphirereel/codec/openai_request.hpp"
#include "sapphirereel/core/finding.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sapphirereel::codec::internal {

/// A finding in a request body at a JSON pointer.
auto body_finding(std::string pointer, std::string message, std::string mend)
    -> finding;

/// The field of an object, unless it is absent or null.
auto find_field(nlohmann::json const& object, char const* name)
    -> nlohmann::json const*;

/// The length of a prompt, its parts that other requests may share, and all
/// that is wrong with it.
struct prompt_estimate
{
    std::uint64_t tokens = 0;
    std::vector<digest> parts;
    findings errors;
    auto operator<=>(prompt_estimate const&) const = default;
};

/// Reads `messages` of a chat or `prompt` of a text completion.
auto read_prompt(openai_kind kind, nlohmann::json const& body)
    -> prompt_estimate;

} // namespace sapphirereel::codec::internal

#endif
