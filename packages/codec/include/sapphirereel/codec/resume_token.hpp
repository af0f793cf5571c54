/// \file
/// Defines the signed token that each event of a stream carries as its id. It
/// holds all that a daemon needs to resume the stream, so that any daemon can
/// do so without shared state.
#ifndef SAPPHIREREEL_CODEC_RESUME_TOKEN_HPP
#define SAPPHIREREEL_CODEC_RESUME_TOKEN_HPP

#include "sapphirereel/codec/signing_key.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/run_stream.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sapphirereel::codec {

/// A position in a generation, and where that generation runs.
struct resume_token
{
    service_name service;
    run_id run;
    run_place place;
    /// Digest of the request that the generation answers.
    digest request;
    /// Index of the first event that the caller does not have.
    std::uint64_t next_index = 0;
    /// Number of the attachment that delivered the event.
    std::uint64_t attachment_number = 0;
    /// Digest of all output text before `next_index`; 0 where it is unknown.
    std::uint64_t output = 0;
    auto operator<=>(resume_token const&) const = default;
};

/// Why a token is refused.
enum class resume_token_error
{
    too_long,
    not_base64,
    unknown_version,
    /// Signed with another key, cut or changed.
    bad_signature,
    malformed
};

/// Most characters of a token that is read.
inline constexpr auto max_resume_token_characters = std::size_t{2048};

/// The token's text: letters, digits, `-` and `_` only.
/// Example: `event.id = encode_resume_token(token, key);`
auto encode_resume_token(resume_token const& token, signing_key const& key)
    -> std::string;

/// Reads a token that a daemon with the same key wrote.
auto decode_resume_token(std::string_view text, signing_key const& key)
    -> tl::expected<resume_token, resume_token_error>;

/// What is wrong with a token, for the caller.
auto describe(resume_token_error error) -> std::string_view;

} // namespace sapphirereel::codec

#endif
