/// \file
/// Defines the transfer of a keyed stream's copy from one daemon to another, as
/// a snapshot or as the changes since an offset, and its encoding. A receiver
/// that states it gets large values as outlines, and asks for the pieces that
/// it lacks.
#ifndef SAPPHIREREEL_RELAY_RECORD_TRANSFER_HPP
#define SAPPHIREREEL_RELAY_RECORD_TRANSFER_HPP

#include "sapphirereel/relay/log_follower.hpp"
#include "sapphirereel/relay/piece_library.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::relay {

/// Requests a daemon's copy of a stream.
struct copy_request
{
    keyed_stream stream = keyed_stream::configuration;
    /// Position before which the requester has applied every record.
    log_position from;
    auto operator<=>(copy_request const&) const = default;
};

/// A record whose value is described by its outline.
struct outlined_record
{
    std::string key;
    log_position position;
    value_outline outline;
    auto operator<=>(outlined_record const&) const = default;
};

/// The answer to a copy request.
struct peer_copy
{
    keyed_page page;
    /// Whether the page holds every key; otherwise it holds the changes,
    /// removals included, since the requested position.
    bool is_snapshot = true;
    /// Records of the page whose values the receiver collects in pieces.
    std::vector<outlined_record> outlined = {};
    auto operator<=>(peer_copy const&) const = default;
};

/// Field of a copy request whose sender reads outlines; daemons of earlier
/// versions send no such field and get whole values.
inline constexpr auto reads_outlines_field =
    std::string_view{"Sapphirereel-Reads-Outlines"};

/// The path and query at which a daemon serves the copy to its peers.
auto copy_path(copy_request const& request) -> std::string;

/// Parses a path and query; none if they do not request a copy.
auto read_copy_path(std::string_view path) -> std::optional<copy_request>;

/// The changes since a position, or a snapshot if the cache may miss removals
/// since then.
auto copy_of(record_cache const& cache, log_position from) -> peer_copy;

/// Encodes a copy. Its positions are those of one era, which stands behind the
/// fields that daemons of the previous version read.
auto write_copy(peer_copy const& copy) -> std::string;

/// None if the bytes are not a valid copy.
auto read_copy(std::string_view bytes) -> std::optional<peer_copy>;

/// The copy with outlines in place of large values, whose pieces are held.
auto with_outlines(peer_copy copy, piece_library& pieces) -> peer_copy;

/// The pieces that the copy's outlines name and that are not held.
auto missing_pieces(peer_copy const& copy, piece_library const& pieces)
    -> std::vector<outlined_piece>;

/// The copy with its values in place of their outlines; none if a piece is
/// missing, or if pieces do not make up a value.
auto with_values(peer_copy copy, piece_library const& pieces)
    -> std::optional<peer_copy>;

/// Size from which a copy with whole values may be refused: it takes a weak
/// VM's link, of 10 megabits per second, for 50 ms or more.
inline constexpr auto min_large_copy = std::size_t{65'536};

} // namespace sapphirereel::relay

#endif
