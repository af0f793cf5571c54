#include "sapphirereel/core/rendezvous.hpp"

#include <algorithm>
#include <xxhash.h>

namespace sapphirereel {

auto rendezvous_weight(std::string_view key, std::string_view member)
    -> std::uint64_t
{
    auto const seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

auto rendezvous_order(std::string_view key, std::vector<daemon_id> members)
    -> std::vector<daemon_id>
{
    auto const heavier = [key](daemon_id const& a, daemon_id const& b) {
        auto const weight_a = rendezvous_weight(key, a.str());
        auto const weight_b = rendezvous_weight(key, b.str());
        return weight_a != weight_b ? weight_a > weight_b : a < b;
    };
    std::sort(members.begin(), members.end(), heavier);
    return members;
}

} // namespace sapphirereel
