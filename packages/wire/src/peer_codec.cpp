#include "sapphirereel/wire/peer_codec.hpp"

#include "sapphirereel/codec/bounded_json.hpp"

namespace sapphirereel {

namespace {

constexpr auto version_key = "v";
constexpr auto envelope_key = "m";

} // namespace

auto encode_peer(peer_envelope const& envelope) -> std::string
{
    auto const json =
        nlohmann::json{{version_key, peer_version}, {envelope_key, envelope}};
    auto bytes = std::string{};
    nlohmann::json::to_msgpack(json, bytes);
    return bytes;
}

auto decode_peer(std::string_view bytes)
    -> tl::expected<peer_envelope, peer_error>
{
    try
    {
        auto const parsed = codec::parse_bounded_msgpack(bytes);
        if (!parsed)
        {
            return tl::unexpected(peer_error::malformed);
        }
        auto const& json = *parsed;
        if (json.at(version_key).get<std::uint32_t>() != peer_version)
        {
            return tl::unexpected(peer_error::other_version);
        }
        return json.at(envelope_key).get<peer_envelope>();
    }
    catch (nlohmann::json::exception const&)
    {
        return tl::unexpected(peer_error::malformed);
    }
}

} // namespace sapphirereel
