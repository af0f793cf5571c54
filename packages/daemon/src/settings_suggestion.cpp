#include "sapphirereel/daemon/settings_suggestion.hpp"

#include <algorithm>
#include <numeric>

namespace sapphirereel::daemon::internal {

auto edit_distance(std::string_view a, std::string_view b) -> std::size_t
{
    auto row = std::vector<std::size_t>(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (auto i = std::size_t{0}; i < a.size(); ++i)
    {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (auto j = std::size_t{0}; j < b.size(); ++j)
        {
            auto const replaced = diagonal + (a[i] == b[j] ? 0U : 1U);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

auto nearest_name(
    std::string_view word, std::vector<std::string_view> const& known)
    -> std::string_view
{
    auto const nearer = [word](auto a, auto b) {
        return edit_distance(word, a) < edit_distance(word, b);
    };
    auto const found = std::min_element(known.begin(), known.end(), nearer);
    return found == known.end() ? std::string_view{} : *found;
}

} // namespace sapphirereel::daemon::internal
