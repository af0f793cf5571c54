#include "sapphirereel/core/output_digest.hpp"

namespace sapphirereel {

output_digest::output_digest()
    : state_{}
{
    XXH64_reset(&state_, 0);
}

auto output_digest::add(std::string_view text) -> void
{
    XXH64_update(&state_, text.data(), text.size());
}

auto output_digest::value() const -> std::uint64_t
{
    return XXH64_digest(&state_);
}

} // namespace sapphirereel
