#include "sapphirereel/core/invariant.hpp"

#include <cstdio>
#include <cstdlib>

namespace sapphirereel {

auto require_invariant(bool holds, std::string_view invariant) -> void
{
    if (holds)
    {
        return;
    }
    std::fprintf(
        stderr, "broken invariant: %.*s\n", static_cast<int>(invariant.size()),
        invariant.data());
    std::abort();
}

} // namespace sapphirereel
