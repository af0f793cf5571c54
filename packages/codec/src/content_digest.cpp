#include "sapphirereel/codec/content_digest.hpp"

#include <array>
#include <sodium.h>
#include <string>

namespace sapphirereel::codec {
namespace {

constexpr auto digest_bytes = std::size_t{16};

} // namespace

auto content_digest(std::string_view bytes) -> digest
{
    auto hash = std::array<unsigned char, digest_bytes>{};
    crypto_generichash(
        hash.data(), hash.size(),
        reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(),
        nullptr, 0);
    // The library writes a closing zero byte besides the digits.
    auto text = std::string(2 * hash.size() + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    text.pop_back();
    return digest{text};
}

} // namespace sapphirereel::codec
