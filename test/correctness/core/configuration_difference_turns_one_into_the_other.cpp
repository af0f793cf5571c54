#include "sapphirereel/core/configuration_edit.hpp"

#include "correctness/core/configuration_samples.hpp"

#include <gtest/gtest.h>

namespace sapphirereel {
namespace {

TEST(configuration_difference, turns_one_configuration_into_the_other)
{
    auto const from = sample_configuration();
    auto to = from;
    to.groups.erase(group_name{"slow"});
    to.groups[group_name{"fast"}].labels["pool"] = "new";
    add(to, pool_selector("s", 1, "new"));
    to.shares[customer_id{"c"}] = {customer_id{"c"}, 3};
    auto const forth = difference(from, to);
    EXPECT_EQ(forth.size(), 4U);
    EXPECT_EQ(apply_changes(from, forth), to);
    EXPECT_EQ(apply_changes(to, difference(to, from)), from);
    EXPECT_TRUE(difference(to, to).empty());
}

} // namespace
} // namespace sapphirereel
