/// \file
/// Defines how a daemon hands its copy of a keyed stream to a peer.
#ifndef SAPPHIREREEL_RELAY_RECORD_EXCHANGE_HPP
#define SAPPHIREREEL_RELAY_RECORD_EXCHANGE_HPP

#include "sapphirereel/relay/log_follower.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirereel::relay {

/// Path under which a daemon serves its copy of a stream to its peers.
auto copy_path(keyed_stream stream) -> std::string;

/// The stream that a path asks for.
auto stream_of_path(std::string_view path) -> std::optional<keyed_stream>;

auto write_copy(record_cache const& cache) -> std::string;

/// Nothing if the bytes are no copy.
auto read_copy(std::string_view bytes) -> std::optional<keyed_page>;

} // namespace sapphirereel::relay

#endif
