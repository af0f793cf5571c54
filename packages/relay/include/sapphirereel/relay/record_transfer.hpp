/// \file
/// Defines the transfer of a keyed stream's copy from one daemon to another, as
/// a snapshot or as the changes since an offset, and its encoding.
#ifndef SAPPHIREREEL_RELAY_RECORD_TRANSFER_HPP
#define SAPPHIREREEL_RELAY_RECORD_TRANSFER_HPP

#include "sapphirereel/relay/log_follower.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirereel::relay {

/// Requests a daemon's copy of a stream.
struct copy_request
{
    keyed_stream stream = keyed_stream::configuration;
    /// Position before which the requester has applied every record.
    log_position from;
    auto operator<=>(copy_request const&) const = default;
};

/// The answer to a copy request.
struct peer_copy
{
    keyed_page page;
    /// Whether the page holds every key; otherwise it holds the changes,
    /// removals included, since the requested position.
    bool is_snapshot = true;
    auto operator<=>(peer_copy const&) const = default;
};

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

/// Size from which a copy is large: it takes a weak VM's link, of 10 megabits
/// per second, for 50 ms or more.
inline constexpr auto min_large_copy = std::size_t{65'536};

/// Large copies that a daemon sends at the same time. With more, each takes
/// longer than `fetch_timeout` on a weak link, and none arrives.
inline constexpr auto max_large_copies = std::size_t{2};

/// Whether a copy may be sent while `pending` large ones are.
auto may_send_copy(std::size_t bytes, std::size_t pending) -> bool;

} // namespace sapphirereel::relay

#endif
