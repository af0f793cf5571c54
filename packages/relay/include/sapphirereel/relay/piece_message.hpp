/// \file
/// Defines the messages by which daemons ask each other for pieces of large
/// values, and their encoding.
#ifndef SAPPHIREREEL_RELAY_PIECE_MESSAGE_HPP
#define SAPPHIREREEL_RELAY_PIECE_MESSAGE_HPP

#include "sapphirereel/relay/value_outline.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Pieces that one request may name; their digests fit the smallest head of a
/// request that operators allow.
inline constexpr auto max_requested_pieces = std::size_t{16};

/// Size from which a response takes no further piece. It takes a link of 10
/// megabits per second for 26 ms.
inline constexpr auto max_response_bytes = std::size_t{32'768};

/// Requests any of some pieces.
struct piece_request
{
    /// Address of the daemon that asks, which other receivers may ask in turn.
    std::string ip;
    std::vector<content_digest> pieces;
    auto operator<=>(piece_request const&) const = default;
};

/// Some of the pieces that were asked for; none if the daemon has none of them
/// or may send nothing now.
struct piece_response
{
    std::vector<std::string> pieces;
    /// Addresses of daemons that received pieces of late.
    std::vector<std::string> holders;
    auto operator<=>(piece_response const&) const = default;
};

/// The path and query of a request.
auto piece_path(piece_request const& request) -> std::string;

/// None if a path and query do not ask for pieces.
auto read_piece_path(std::string_view path) -> std::optional<piece_request>;

auto write_pieces(piece_response const& response) -> std::string;

/// None if the bytes are not a valid response.
auto read_pieces(std::string_view bytes) -> std::optional<piece_response>;

} // namespace sapphirereel::relay

#endif
