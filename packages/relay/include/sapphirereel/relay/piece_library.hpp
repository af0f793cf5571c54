/// \file
/// Defines the pieces of large values that a daemon holds: those of the values
/// that it has, and those that have arrived of the values that it collects. A
/// piece that several values share is held once.
#ifndef SAPPHIREREEL_RELAY_PIECE_LIBRARY_HPP
#define SAPPHIREREEL_RELAY_PIECE_LIBRARY_HPP

#include "sapphirereel/relay/value_outline.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Number of values whose pieces are held: those in force and collected here,
/// and earlier ones that peers may still be collecting.
inline constexpr auto max_held_values = std::size_t{4};

/// The pieces that a daemon holds, by their digests.
class piece_library
{
public:
    /// Holds the pieces of a value that is here. The pieces of the value that
    /// was named least recently are dropped if there are too many values.
    auto hold(std::string_view value) -> value_outline;

    /// Prepares to hold the pieces of a value as they arrive.
    auto expect(value_outline const& outline) -> void;

    /// Holds a piece that arrived. Returns whether it was missing; a piece of
    /// no expected value is dropped.
    auto add(std::string_view piece) -> bool;

    /// None if the piece is not here.
    [[nodiscard]] auto find(content_digest const& digest) const
        -> std::string const*;

    /// The pieces of a value that are not here, each once.
    [[nodiscard]] auto missing(value_outline const& outline) const
        -> std::vector<outlined_piece>;

    /// The value; none if a piece is missing, or if the pieces do not make up
    /// the value that its digest names.
    [[nodiscard]] auto value_of(value_outline const& outline) const
        -> std::optional<std::string>;

private:
    auto drop_unused() -> void;

    /// The values, the one that was named last at the end.
    std::deque<value_outline> values_;
    /// The pieces of `values_`.
    std::set<content_digest> used_;
    std::map<content_digest, std::string> pieces_;
};

/// Sum of the pieces' lengths.
auto bytes_of(std::vector<outlined_piece> const& pieces) -> std::size_t;

} // namespace sapphirereel::relay

#endif
