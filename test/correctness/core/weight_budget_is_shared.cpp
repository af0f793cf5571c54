#include "sapphirereel/core/weight_budget.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {

TEST(weight_budget, grants_each_lease_to_one_load_per_term)
{
    constexpr std::uint32_t loads_per_minute = 6;
    lease_table table{weight_lease_term};
    auto const now = time_point{};
    std::uint64_t offset = 0;
    for (std::uint32_t i = 0; i < loads_per_minute; ++i)
    {
        auto const self = daemon_id{"d" + std::to_string(i)};
        auto const name =
            find_free_weight_lease(table, self, loads_per_minute, now);
        ASSERT_TRUE(name);
        lease_entry const entry{lease_kind::acquire, *name, self,
                                weight_lease_term,   {},    1};
        ++offset;
        table.apply({{1}, {offset + 1}, {{{offset}, {}, {entry}}}}, now);
    }
    auto const self = daemon_id{"d9"};
    EXPECT_FALSE(find_free_weight_lease(table, self, loads_per_minute, now));
    EXPECT_TRUE(find_free_weight_lease(
        table, self, loads_per_minute, now + weight_lease_term));
}

} // namespace sapphirereel
