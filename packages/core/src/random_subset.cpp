#include "random_subset.hpp"

#include <algorithm>

namespace sapphirereel {

auto random_subset(
    std::vector<daemon_id> ids, std::size_t count, std::mt19937_64& random)
    -> std::vector<daemon_id>
{
    shuffle(ids, random);
    ids.resize(std::min(ids.size(), count));
    return ids;
}

} // namespace sapphirereel
