/// \file
/// Defines how a daemon hands its copy of a keyed stream to a peer.
#ifndef SAPPHIREREEL_RELAY_RECORD_TRANSFER_HPP
#define SAPPHIREREEL_RELAY_RECORD_TRANSFER_HPP

#include "sapphirereel/relay/log_follower.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirereel::relay {

/// Asks a daemon for its copy of a stream.
struct copy_request
{
    keyed_stream stream = keyed_stream::configuration;
    /// Offset before which the asker has taken in every record.
    std::uint64_t from = 0;
    auto operator<=>(copy_request const&) const = default;
};

/// What a daemon hands to a peer.
struct peer_copy
{
    keyed_page page;
    /// Whether the page holds every key; else only what changed, removals
    /// included, since the offset that was asked for.
    bool is_snapshot = true;
    auto operator<=>(peer_copy const&) const = default;
};

/// The path and query under which a daemon serves its copies to its peers.
auto copy_path(copy_request const& request) -> std::string;

/// What a path asks for; nothing if it is none of a copy.
auto read_copy_path(std::string_view path) -> std::optional<copy_request>;

auto write_copy(record_cache const& cache, std::uint64_t from) -> std::string;

/// Nothing if the bytes are no copy.
auto read_copy(std::string_view bytes) -> std::optional<peer_copy>;

} // namespace sapphirereel::relay

#endif
