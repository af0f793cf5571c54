// Guards against a large fleet whose callers all come to the daemons that are
// listed first: they use the beginning of a long list of addresses only.
#include "sapphirereel/relay/address_selection.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace sapphirereel::relay {
namespace {

auto fleet(std::size_t zones, std::size_t daemons_per_zone)
    -> std::vector<ready_daemon>
{
    auto made = std::vector<ready_daemon>{};
    for (auto zone = std::size_t{0}; zone < zones; ++zone)
    {
        for (auto at = std::size_t{0}; at < daemons_per_zone; ++at)
        {
            made.push_back(
                {fmt::format("10.{}.0.{}:80", zone, at),
                 zone_name{fmt::format("z{}", zone)}});
        }
    }
    return made;
}

TEST(listed_addresses, of_a_large_fleet_are_those_of_the_callers_zone)
{
    auto const ready = fleet(5, 59);
    auto all = std::set<std::string>{};
    for (auto const* const zone : {"z0", "z1", "z2", "z3", "z4"})
    {
        auto const listed =
            select_addresses(ready, zone_name{zone}, fleet_view::own_zone);
        EXPECT_EQ(listed.size(), 59U);
        all.insert(listed.begin(), listed.end());
    }
    EXPECT_EQ(all.size(), ready.size());
}

TEST(listed_addresses, are_no_more_than_callers_use)
{
    EXPECT_EQ(
        select_addresses(fleet(1, 300), zone_name{"z0"}, fleet_view::own_zone)
            .size(),
        64U);
    EXPECT_EQ(
        select_addresses(fleet(20, 6), zone_name{"z0"}, fleet_view::own_zone)
            .size(),
        64U);
}

TEST(listed_addresses, of_a_small_fleet_include_all_zones)
{
    auto const listed =
        select_addresses(fleet(3, 3), zone_name{"z1"}, fleet_view::whole);
    ASSERT_EQ(listed.size(), 9U);
    EXPECT_TRUE(std::all_of(listed.begin(), listed.begin() + 3, [](auto each) {
        return each.starts_with("10.1.");
    }));
}

// Zones with more callers than others would otherwise have their own daemons
// and replicas overloaded.
TEST(listed_addresses, of_a_fleet_that_is_known_whole_include_all_zones)
{
    auto const listed =
        select_addresses(fleet(3, 27), zone_name{"z1"}, fleet_view::whole);
    ASSERT_EQ(listed.size(), 64U);
    auto const is_of_other_zone = [](std::string const& each) {
        return !each.starts_with("10.1.");
    };
    EXPECT_EQ(
        std::count_if(listed.begin(), listed.end(), is_of_other_zone), 37);
}

TEST(listed_addresses, are_the_same_from_every_daemon_of_a_zone)
{
    auto ready = fleet(1, 200);
    auto const listed =
        select_addresses(ready, zone_name{"z0"}, fleet_view::own_zone);
    std::reverse(ready.begin(), ready.end());
    EXPECT_EQ(
        select_addresses(ready, zone_name{"z0"}, fleet_view::own_zone), listed);
}

} // namespace
} // namespace sapphirereel::relay
