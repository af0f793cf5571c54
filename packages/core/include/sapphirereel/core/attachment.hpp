/// \file
/// Defines attachment_id, which identifies a caller's connection that waits for
/// an answer.
#ifndef SAPPHIREREEL_CORE_ATTACHMENT_HPP
#define SAPPHIREREEL_CORE_ATTACHMENT_HPP

#include <compare>
#include <cstdint>

namespace sapphirereel {

/// One caller that waits for an answer on one connection of this daemon. Not
/// related to `attachment_number`, which fences a caller's successive
/// connections to one run.
struct attachment_id
{
    std::uint64_t value = 0;
    auto operator<=>(attachment_id const&) const = default;
};

} // namespace sapphirereel

#endif
