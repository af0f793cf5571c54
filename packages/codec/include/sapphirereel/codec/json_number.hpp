/// \file
/// Defines the conversion of JSON numbers to whole numbers. The JSON library
/// converts without checks: a negative number wraps, a fraction is cut off, and
/// one out of range has no defined result.
#ifndef SAPPHIREREEL_CODEC_JSON_NUMBER_HPP
#define SAPPHIREREEL_CODEC_JSON_NUMBER_HPP

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace sapphirereel::codec {

/// Largest whole number up to which a double holds all of them.
inline constexpr auto max_exact_whole_number = (std::uint64_t{1} << 53U) - 1;

/// The whole number from 0 to `most` that a value holds, also if it is written
/// with a fraction of 0; nothing for any other value.
auto whole_number(
    nlohmann::json const& value, std::uint64_t most = max_exact_whole_number)
    -> std::optional<std::uint64_t>;

} // namespace sapphirereel::codec

#endif
