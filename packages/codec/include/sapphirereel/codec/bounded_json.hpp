/// \file
/// Defines the parsing of JSON and MessagePack from outside. The JSON library
/// copies and writes JSON and reads MessagePack by recursion, so input that is
/// nested without bound could exhaust the stack.
#ifndef SAPPHIREREEL_CODEC_BOUNDED_JSON_HPP
#define SAPPHIREREEL_CODEC_BOUNDED_JSON_HPP

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace sapphirereel::codec {

/// Deepest nesting of input that is read.
inline constexpr auto max_json_depth = 64;

/// Whether brackets outside strings nest no deeper than `max_json_depth`.
/// Reads the text once and does not recurse.
auto json_depth_is_bounded(std::string_view text) -> bool;

/// The JSON of a text; nothing if it is nested too deeply or is not JSON in
/// UTF-8.
auto parse_bounded_json(std::string_view text) -> std::optional<nlohmann::json>;

/// The JSON that MessagePack bytes stand for; nothing if they are nested too
/// deeply, malformed, or followed by others.
auto parse_bounded_msgpack(std::string_view bytes)
    -> std::optional<nlohmann::json>;

} // namespace sapphirereel::codec

#endif
