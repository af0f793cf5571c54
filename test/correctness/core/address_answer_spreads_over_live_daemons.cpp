#include "sapphirereel/core/address_answer.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <string>

namespace sapphirereel {

namespace {

auto daemon(int number, std::string zone, member_state state) -> member
{
    member made;
    made.id = daemon_id{"d" + std::to_string(number)};
    made.caller_address = {"127.0.0." + std::to_string(number), 80};
    made.zone = zone_name{std::move(zone)};
    made.region = region_name{"r"};
    made.state = state;
    return made;
}

auto choose(std::vector<member> const& members, std::uint64_t seed)
    -> std::vector<socket_address>
{
    std::mt19937_64 random{seed};
    return choose_addresses(
               members, zone_name{"a"}, region_name{"r"}, {}, random)
        .addresses;
}

} // namespace

TEST(address_answer, lists_alive_daemons_of_own_and_other_zones)
{
    std::vector<member> members;
    for (int i = 1; i <= 9; ++i)
    {
        auto const zone = std::string(1, "abc"[i % 3]);
        auto const state = i == 3   ? member_state::leaving
                           : i == 6 ? member_state::dead
                           : i == 1 ? member_state::suspect
                                    : member_state::alive;
        members.push_back(daemon(i, zone, state));
    }
    auto const answer = choose(members, 1);
    ASSERT_EQ(answer.size(), 4U);
    // Number 9 is the only alive daemon of zone a, so it comes first.
    EXPECT_EQ(answer.front().ip, "127.0.0.9");
    for (auto const& address : answer)
    {
        for (auto const* excluded : {"127.0.0.1", "127.0.0.3", "127.0.0.6"})
        {
            EXPECT_NE(address.ip, excluded);
        }
    }
}

TEST(address_answer, falls_back_to_suspects_when_none_is_alive)
{
    auto const answer = choose(
        {daemon(1, "a", member_state::suspect),
         daemon(2, "a", member_state::leaving)},
        1);
    ASSERT_EQ(answer.size(), 1U);
    EXPECT_EQ(answer.front().ip, "127.0.0.1");
}

TEST(address_answer, spreads_callers_evenly)
{
    std::vector<member> members;
    constexpr int daemons = 8;
    for (int i = 1; i <= daemons; ++i)
    {
        members.push_back(daemon(i, "a", member_state::alive));
    }
    std::map<std::string, int> first;
    constexpr int callers = 8000;
    constexpr int even_share = callers / daemons;
    for (int seed = 0; seed < callers; ++seed)
    {
        ++first[choose(members, static_cast<std::uint64_t>(seed)).front().ip];
    }
    for (auto const& [ip, count] : first)
    {
        EXPECT_GT(count, even_share * 4 / 5) << ip;
        EXPECT_LT(count, even_share * 6 / 5) << ip;
    }
}

} // namespace sapphirereel
