/// \file
/// Defines the digest by which the system knows equal content.
#ifndef SAPPHIREREEL_CODEC_CONTENT_DIGEST_HPP
#define SAPPHIREREEL_CODEC_CONTENT_DIGEST_HPP

#include "sapphirereel/core/identifier.hpp"

#include <string_view>

namespace sapphirereel::codec {

/// The BLAKE2b digest of some bytes, 16 bytes as 32 hexadecimal digits.
auto content_digest(std::string_view bytes) -> digest;

} // namespace sapphirereel::codec

#endif
