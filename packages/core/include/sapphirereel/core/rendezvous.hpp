/// \file
/// Defines rendezvous hashing: daemons with the same member list choose the
/// same members for a key, and the loss of a member moves only the keys it
/// held.
#ifndef SAPPHIREREEL_CORE_RENDEZVOUS_HPP
#define SAPPHIREREEL_CORE_RENDEZVOUS_HPP

#include "sapphirereel/core/identifier.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace sapphirereel {

/// Weight of a member for a key; the member with the highest weight comes
/// first.
auto rendezvous_weight(std::string_view key, std::string_view member)
    -> std::uint64_t;

/// Members in descending order of their weight for the key, ties by id.
/// Example: `rendezvous_order("engine-1", {a, b, c}).front()` is the home.
auto rendezvous_order(std::string_view key, std::vector<daemon_id> members)
    -> std::vector<daemon_id>;

} // namespace sapphirereel

#endif
