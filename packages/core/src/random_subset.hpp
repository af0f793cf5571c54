/// \file
/// Defines random orders and subsets. The results of std::shuffle and
/// std::sample differ between standard libraries; these give the same order
/// everywhere.
#ifndef SAPPHIREREEL_CORE_RANDOM_SUBSET_HPP
#define SAPPHIREREEL_CORE_RANDOM_SUBSET_HPP

#include "sapphirereel/core/identifier.hpp"

#include <cstddef>
#include <random>
#include <utility>
#include <vector>

namespace sapphirereel {

/// Puts values into a random order.
template <class Value>
auto shuffle(std::vector<Value>& values, std::mt19937_64& random) -> void
{
    for (auto left = values.size(); left > 1; --left)
    {
        auto const chosen = static_cast<std::size_t>(random() % left);
        std::swap(values[left - 1], values[chosen]);
    }
}

/// Random ids in random order: `count` of them, or all if there are fewer.
[[nodiscard]] auto random_subset(
    std::vector<daemon_id> ids, std::size_t count, std::mt19937_64& random)
    -> std::vector<daemon_id>;

} // namespace sapphirereel

#endif
