/// \file
/// Defines all that one daemon says to another. Each message is one-way and
/// may be lost or repeated; an answer is a message too.
#ifndef SAPPHIREREEL_COMPOSITION_PEER_MESSAGE_HPP
#define SAPPHIREREEL_COMPOSITION_PEER_MESSAGE_HPP

#include "sapphirereel/core/at_most_once_event.hpp"
#include "sapphirereel/core/configuration_state.hpp"
#include "sapphirereel/core/membership_event.hpp"
#include "sapphirereel/core/placement_message.hpp"
#include "sapphirereel/core/poison_request.hpp"

#include <variant>

namespace sapphirereel {

/// Asks a peer for its configuration if it is later than `have`.
struct configuration_query
{
    log_offset have;
    auto operator<=>(configuration_query const&) const = default;
};

/// Tells that an endpoint is leaving, so that it gets no new work.
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
    cleared_message>;

/// Version of the messages that this program writes.
inline constexpr std::uint32_t peer_version = 1;

/// A message with its sender. A receiver that meets a message of a kind that
/// it does not know skips and counts it, so that two versions run side by
/// side.
struct peer_envelope
{
    daemon_id from;
    peer_message content;
    auto operator<=>(peer_envelope const&) const = default;
};

} // namespace sapphirereel

#endif
