/// \file
/// Defines how a request body of OpenAI's completions API is read and checked,
/// and how it is rewritten for an engine.
#ifndef SAPPHIREREEL_CODEC_OPENAI_REQUEST_HPP
#define SAPPHIREREEL_CODEC_OPENAI_REQUEST_HPP

#include "sapphirereel/core/finding.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/run_stream.hpp"

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::codec {

/// Which of the two endpoints of the API a request is for.
enum class openai_kind
{
    /// `/v1/chat/completions`
    chat,
    /// `/v1/completions`
    text
};

/// Most prompt parts of a request.
inline constexpr auto most_prompt_parts = std::size_t{64};

/// A checked request. Fields that are not listed stay in `body` as they are.
struct openai_request
{
    openai_kind kind = openai_kind::chat;
    model_name model;
    /// The field `user`; empty if absent.
    std::string user;
    bool stream = false;
    /// Whether a streaming caller wants the chunk with token counts.
    bool include_usage = false;
    std::optional<std::uint64_t> max_tokens;
    /// Tokens of the prompt, estimated from its length.
    std::uint64_t prompt_tokens = 0;
    /// Digests of the first messages of a chat, in order, up to
    /// `most_prompt_parts`. The last message belongs to the request itself and
    /// is left out, as is the prompt of a text completion.
    std::vector<digest> prompt_parts;
    nlohmann::json body;
    auto operator==(openai_request const&) const -> bool = default;
};

/// Reads a request body. Findings name their place as a JSON pointer.
/// Example: `parse_openai_request(openai_kind::chat, body)`.
auto parse_openai_request(openai_kind kind, std::string_view body)
    -> result<openai_request>;

/// What the system tells an engine besides the caller's request.
struct engine_extension
{
    run_id run;
    std::int32_t priority = 0;
    std::uint64_t attachment_number = 1;
    /// Output that the generation continues from.
    std::optional<output_text> resume;
    auto operator<=>(engine_extension const&) const = default;
};

/// The body to send to an engine: the caller's with streaming and token counts
/// switched on and the extension added. A field of the extension's name in the
/// caller's body is replaced.
auto engine_request_body(
    openai_request const& request, engine_extension const& extension)
    -> std::string;

/// The path of a kind of request.
auto openai_path(openai_kind kind) -> std::string_view;

} // namespace sapphirereel::codec

#endif
