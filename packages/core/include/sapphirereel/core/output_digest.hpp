/// \file
/// Defines the running digest of a generation's output text. Each event id
/// contains it, so that a caller who resumes can prove which text it has.
#ifndef SAPPHIREREEL_CORE_OUTPUT_DIGEST_HPP
#define SAPPHIREREEL_CORE_OUTPUT_DIGEST_HPP

#include <cstdint>
#include <string_view>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace sapphirereel {

/// Value in place of a digest where the text is known only in part.
inline constexpr auto unknown_output = std::uint64_t{0};

/// An incremental digest; it doesn't depend on how the text is split up.
/// Example: `digest.add(" a"); digest.add(" b");` equals `digest.add(" a b")`.
class output_digest
{
public:
    output_digest();

    auto add(std::string_view text) -> void;

    [[nodiscard]] auto value() const -> std::uint64_t;

private:
    XXH64_state_t state_;
};

} // namespace sapphirereel

#endif
