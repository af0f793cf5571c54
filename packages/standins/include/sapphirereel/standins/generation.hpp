/// \file
/// Defines the text that the engine stand-in generates. Each token names its
/// index and a hash of the prompt and all output before it, so that a lost,
/// doubled, swapped or foreign token shows in the text itself.
#ifndef SAPPHIREREEL_STANDINS_GENERATION_HPP
#define SAPPHIREREEL_STANDINS_GENERATION_HPP

#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <xxhash.h>

namespace sapphirereel::standins {

/// The prompt of an OpenAI request: its `prompt`, or a line `role: content`
/// for each of its `messages`. Throws a JSON exception if it has neither.
auto prompt_of(nlohmann::json const& request) -> std::string;

/// Digest of a prompt's first 256 bytes, as cache events name it.
auto prefix_digest(std::string_view prompt) -> digest;

/// Number of tokens that a prompt takes in an engine's memory.
auto prompt_tokens(std::string_view prompt) -> std::uint64_t;

/// Natural length of the answer to a prompt: heavy-tailed over prompts, at
/// least 1 and at most `max_length` tokens.
auto generation_length(std::string_view prompt, std::uint64_t max_length)
    -> std::uint64_t;

/// Makes the tokens of one prompt's answer in order.
class generation_chain
{
public:
    explicit generation_chain(std::string_view prompt);

    /// Goes on after output that was made before.
    auto resume(std::string_view text, std::uint64_t tokens) -> void;

    /// The next token.
    auto next() -> std::string;

    /// Index of the next token.
    [[nodiscard]] auto index() const -> std::uint64_t;

private:
    struct state_deleter
    {
        auto operator()(XXH64_state_t* state) const -> void;
    };

    std::unique_ptr<XXH64_state_t, state_deleter> state_;
    std::uint64_t index_ = 0;
};

/// Where a text departs from its prompt's answer.
struct generation_error
{
    std::uint64_t index = 0;
    std::string expected;
    std::string found;
    auto operator<=>(generation_error const&) const = default;
};

/// Checks that a text is the beginning of its prompt's answer, whole tokens
/// from the first on, and counts them.
auto verify_generation(std::string_view prompt, std::string_view text)
    -> tl::expected<std::uint64_t, generation_error>;

} // namespace sapphirereel::standins

#endif
