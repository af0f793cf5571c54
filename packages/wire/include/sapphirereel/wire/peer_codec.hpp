/// \file
/// Defines the encoding of messages between daemons: a map of the version (`v`)
/// and the peer_envelope (`m`), in MessagePack.
#ifndef SAPPHIREREEL_WIRE_PEER_CODEC_HPP
#define SAPPHIREREEL_WIRE_PEER_CODEC_HPP

#include "sapphirereel/codec/claim_codec.hpp"
#include "sapphirereel/codec/configuration_codec.hpp"
#include "sapphirereel/codec/lethal_request_codec.hpp"
#include "sapphirereel/codec/membership_codec.hpp"
#include "sapphirereel/codec/placement_codec.hpp"
#include "sapphirereel/composition/peer_message.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace sapphirereel {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(configuration_query, have)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(endpoint_leaving, endpoint)

// Names in messages stay when a type is renamed.
template <>
inline constexpr std::string_view kind_name<membership_message> = "membership";
template <>
inline constexpr std::string_view kind_name<reserve_message> = "reserve";
template <>
inline constexpr std::string_view kind_name<reserve_reply_message> =
    "reserve_reply";
template <>
inline constexpr std::string_view kind_name<release_message> = "release";
template <>
inline constexpr std::string_view kind_name<progress_message> = "progress";
template <>
inline constexpr std::string_view kind_name<announce_message> = "announce";
template <>
inline constexpr std::string_view kind_name<announce_request_message> =
    "announce_request";
template <>
inline constexpr std::string_view kind_name<claim_message> = "claim";
template <>
inline constexpr std::string_view kind_name<configuration_query> =
    "configuration_query";
template <>
inline constexpr std::string_view kind_name<configuration_snapshot> =
    "configuration_snapshot";
template <>
inline constexpr std::string_view kind_name<endpoint_leaving> =
    "endpoint_leaving";
template <>
inline constexpr std::string_view kind_name<crash_message> = "death";
template <>
inline constexpr std::string_view kind_name<cleared_message> = "cleared";
template <>
inline constexpr std::string_view kind_name<poison_part_reports> =
    "poison_parts";

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_envelope, from, content)

/// Reason why a message could not be decoded.
enum class peer_error
{
    /// Not MessagePack, not a valid envelope, or a message of an unknown kind.
    malformed,
    /// A protocol version that this program does not support.
    other_version
};

/// Encodes an envelope.
auto encode_peer(peer_envelope const& envelope) -> std::string;

/// Decodes an envelope. A message of an unknown kind is malformed.
auto decode_peer(std::string_view bytes)
    -> tl::expected<peer_envelope, peer_error>;

} // namespace sapphirereel

#endif
