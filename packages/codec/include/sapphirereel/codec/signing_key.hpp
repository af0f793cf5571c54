/// \file
/// Defines the key that all daemons of a deployment share to sign what they
/// hand to callers.
#ifndef SAPPHIREREEL_CODEC_SIGNING_KEY_HPP
#define SAPPHIREREEL_CODEC_SIGNING_KEY_HPP

#include <array>
#include <cstddef>

namespace sapphirereel::codec {

/// Size of a signing key in bytes.
inline constexpr std::size_t signing_key_bytes = 32;

/// A shared secret key.
struct signing_key
{
    std::array<unsigned char, signing_key_bytes> bytes{};
    auto operator<=>(signing_key const&) const = default;
};

} // namespace sapphirereel::codec

#endif
