/// \file
/// Defines how the chunks of an engine's stream are read, and how a whole
/// answer is made of them.
#ifndef SAPPHIREREEL_CODEC_OPENAI_CHUNK_HPP
#define SAPPHIREREEL_CODEC_OPENAI_CHUNK_HPP

#include "sapphirereel/codec/openai_request.hpp"
#include "sapphirereel/core/finding.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirereel::codec {

/// The data of the event that ends a stream.
inline constexpr auto openai_done = std::string_view{"[DONE]"};

/// Counts of tokens, as the engine reports them.
struct openai_usage
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    std::uint64_t total_tokens = 0;
    auto operator<=>(openai_usage const&) const = default;
};

/// One chunk of a stream.
struct openai_chunk
{
    std::string id;
    std::string model;
    std::int64_t created = 0;
    /// Whether the chunk belongs to the choice; the chunk with only the token
    /// counts does not.
    bool has_choice = false;
    std::string text;
    std::optional<std::string> finish_reason;
    std::optional<openai_usage> usage;
    auto operator<=>(openai_chunk const&) const = default;
};

/// Reads the data of one event of either kind of stream.
auto read_openai_chunk(std::string_view data) -> result<openai_chunk>;

/// Whether a chunk is the one with only the token counts, which a caller gets
/// only if it asked for it.
auto is_usage_chunk(openai_chunk const& chunk) -> bool;

/// Collects chunks into the answer for a caller that does not stream.
class openai_answer
{
public:
    explicit openai_answer(openai_kind kind);

    auto add(openai_chunk const& chunk) -> void;

    /// Whether the choice has ended.
    [[nodiscard]] auto finished() const -> bool;

    /// The text so far.
    [[nodiscard]] auto text() const -> std::string const&;

    /// The body of the answer.
    [[nodiscard]] auto body() const -> std::string;

private:
    openai_kind kind_;
    openai_chunk whole_;
};

} // namespace sapphirereel::codec

#endif
