#include "sapphirereel/relay/value_outline.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace sapphirereel::relay {
namespace {

/// A piece ends where the hash of the bytes before has so many leading zero
/// bits: after 8 KiB beyond the least size in the mean.
constexpr auto boundary_bits = 13U;

/// The mixing function of splitmix64.
constexpr auto mix(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ value >> 30U) * 0xbf58476d1ce4e5b9U;
    value = (value ^ value >> 27U) * 0x94d049bb133111ebU;
    return value ^ value >> 31U;
}

/// A random number for each byte value, for the rolling hash of boundaries.
constexpr auto make_gears() -> std::array<std::uint64_t, 256>
{
    constexpr auto step = std::uint64_t{0x9e3779b97f4a7c15U};
    auto gears = std::array<std::uint64_t, 256>{};
    auto state = std::uint64_t{0};
    for (auto& each : gears)
    {
        state += step;
        each = mix(state);
    }
    return gears;
}

constexpr auto gears = make_gears();

/// Length of the first piece of some bytes.
auto first_piece_bytes(std::string_view rest) -> std::size_t
{
    auto const longest = std::min(rest.size(), max_piece_bytes);
    auto hash = std::uint64_t{0};
    for (auto at = std::min(longest, min_piece_bytes); at < longest; ++at)
    {
        hash = (hash << 1U) + gears[static_cast<unsigned char>(rest[at])];
        if (hash >> (64U - boundary_bits) == 0)
        {
            return at + 1;
        }
    }
    return longest;
}

} // namespace

auto content_digest::raw() const -> std::string
{
    return {bytes.begin(), bytes.end()};
}

auto content_digest::text() const -> std::string
{
    auto digits = std::string{};
    for (auto const byte : bytes)
    {
        digits += fmt::format("{:02x}", byte);
    }
    return digits;
}

auto digest_of(std::string_view bytes) -> content_digest
{
    auto canonical = XXH128_canonical_t{};
    XXH128_canonicalFromHash(
        &canonical, XXH3_128bits(bytes.data(), bytes.size()));
    auto digest = content_digest{};
    std::copy(
        std::begin(canonical.digest), std::end(canonical.digest),
        digest.bytes.begin());
    return digest;
}

auto read_digest(std::string_view text) -> std::optional<content_digest>
{
    auto digest = content_digest{};
    if (text.size() != 2 * digest.bytes.size())
    {
        return std::nullopt;
    }
    for (auto& byte : digest.bytes)
    {
        auto const* const end = text.data() + 2;
        auto const read = std::from_chars(text.data(), end, byte, 16);
        if (read.ec != std::errc{} || read.ptr != end)
        {
            return std::nullopt;
        }
        text.remove_prefix(2);
    }
    return digest;
}

auto value_outline::bytes() const -> std::size_t
{
    auto sum = std::size_t{0};
    for (auto const& each : pieces)
    {
        sum += each.bytes;
    }
    return sum;
}

auto cut_into_pieces(std::string_view value) -> std::vector<std::string_view>
{
    auto pieces = std::vector<std::string_view>{};
    while (!value.empty())
    {
        pieces.push_back(value.substr(0, first_piece_bytes(value)));
        value.remove_prefix(pieces.back().size());
    }
    return pieces;
}

auto outline_of(std::string_view value) -> value_outline
{
    auto outline = value_outline{digest_of(value), {}};
    for (auto const piece : cut_into_pieces(value))
    {
        outline.pieces.push_back({digest_of(piece), piece.size()});
    }
    return outline;
}

auto raw_digests(value_outline const& outline) -> std::string
{
    auto raw = std::string{};
    for (auto const& each : outline.pieces)
    {
        raw += each.digest.raw();
    }
    return raw;
}

auto read_outline(
    std::string_view whole,
    std::string_view digests,
    std::vector<std::size_t> const& sizes) -> std::optional<value_outline>
{
    auto outline = value_outline{};
    auto const length = outline.whole.bytes.size();
    if (whole.size() != length || digests.size() != sizes.size() * length)
    {
        return std::nullopt;
    }
    std::copy(whole.begin(), whole.end(), outline.whole.bytes.begin());
    for (auto const bytes : sizes)
    {
        if (bytes == 0 || bytes > max_piece_bytes)
        {
            return std::nullopt;
        }
        auto piece = outlined_piece{{}, bytes};
        std::copy_n(digests.begin(), length, piece.digest.bytes.begin());
        digests.remove_prefix(length);
        outline.pieces.push_back(piece);
    }
    return outline;
}

} // namespace sapphirereel::relay
