/// \file
/// Defines the outline of a large value: the digests of the pieces that it
/// consists of. Boundaries of pieces depend on the content around them, so that
/// two versions of a value share the pieces in which they do not differ.
#ifndef SAPPHIREREEL_RELAY_VALUE_OUTLINE_HPP
#define SAPPHIREREEL_RELAY_VALUE_OUTLINE_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Identifies bytes by their content.
struct content_digest
{
    std::array<unsigned char, 16> bytes{};
    auto operator<=>(content_digest const&) const = default;

    /// The digest's bytes as they are sent between daemons.
    [[nodiscard]] auto raw() const -> std::string;

    /// The digest in hexadecimal digits.
    [[nodiscard]] auto text() const -> std::string;
};

auto digest_of(std::string_view bytes) -> content_digest;

/// None if the text is not a digest in hexadecimal digits.
auto read_digest(std::string_view text) -> std::optional<content_digest>;

/// A piece of a value.
struct outlined_piece
{
    content_digest digest;
    std::size_t bytes = 0;
    auto operator<=>(outlined_piece const&) const = default;
};

/// The pieces of a value, in their order.
struct value_outline
{
    content_digest whole;
    std::vector<outlined_piece> pieces;
    auto operator<=>(value_outline const&) const = default;

    /// Length of the value.
    [[nodiscard]] auto bytes() const -> std::size_t;
};

/// Size of a value from which it is sent in pieces.
inline constexpr auto min_outlined_bytes = std::size_t{32'768};

/// Least and greatest size of a piece, in bytes, apart from a value's last one,
/// which may be shorter.
inline constexpr auto min_piece_bytes = std::size_t{2'048};
inline constexpr auto max_piece_bytes = std::size_t{32'768};

/// Divides a value into pieces of some 10 KB.
auto cut_into_pieces(std::string_view value) -> std::vector<std::string_view>;

auto outline_of(std::string_view value) -> value_outline;

/// The pieces' digests one after another, as they are sent between daemons.
auto raw_digests(value_outline const& outline) -> std::string;

/// An outline from its parts as they were sent; none if they contradict each
/// other or a piece is too large.
auto read_outline(
    std::string_view whole,
    std::string_view digests,
    std::vector<std::size_t> const& sizes) -> std::optional<value_outline>;

} // namespace sapphirereel::relay

#endif
