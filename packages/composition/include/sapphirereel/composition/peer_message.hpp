/// \file
/// Defines the messages between daemons. Each message is one-way and may be
/// lost or repeated; a reply is a message too.
#ifndef SAPPHIREREEL_COMPOSITION_PEER_MESSAGE_HPP
#define SAPPHIREREEL_COMPOSITION_PEER_MESSAGE_HPP

#include "sapphirereel/core/at_most_once_event.hpp"
#include "sapphirereel/core/configuration_state.hpp"
#include "sapphirereel/core/membership_event.hpp"
#include "sapphirereel/core/placement_message.hpp"
#include "sapphirereel/core/poison_part.hpp"
#include "sapphirereel/core/poison_request.hpp"

#include <variant>

namespace sapphirereel {

/// Requests a peer's configuration if it is later than `have`.
struct configuration_query
{
    log_offset have;
    auto operator<=>(configuration_query const&) const = default;
};

/// Announces that an endpoint is leaving, so that it is given no new work.
struct endpoint_leaving
{
    endpoint_id endpoint;
    auto operator<=>(endpoint_leaving const&) const = default;
};

using peer_message = std::variant<
    membership_message,
    reserve_message,
    reserve_reply_message,
    release_message,
    progress_message,
    announce_message,
    announce_request_message,
    claim_message,
    configuration_query,
    configuration_snapshot,
    endpoint_leaving,
    crash_message,
    cleared_message,
    poison_part_reports>;

/// Version of the messages that this program writes.
inline constexpr std::uint32_t peer_version = 1;

/// A message with its sender. decode_peer refuses a message of an unknown kind
/// as malformed, and every message of another `peer_version`.
struct peer_envelope
{
    daemon_id from;
    peer_message content;
    auto operator<=>(peer_envelope const&) const = default;
};

} // namespace sapphirereel

#endif
