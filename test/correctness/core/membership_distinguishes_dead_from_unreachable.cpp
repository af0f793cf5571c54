#include "correctness/core/membership_network.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::test {

using std::chrono::seconds;

class membership_of_any_size : public testing::TestWithParam<std::size_t>
{};

TEST_P(membership_of_any_size, discovers_all_members_and_removes_a_dead_one)
{
    membership_network network{GetParam()};
    ASSERT_TRUE(network.run_until_views_agree());
    network.kill(0);
    EXPECT_TRUE(network.run_until_views_agree());
}

TEST_P(membership_of_any_size, treats_a_restarted_daemon_as_a_new_member)
{
    membership_network network{GetParam()};
    ASSERT_TRUE(network.run_until_views_agree());
    network.start(0);
    EXPECT_TRUE(network.run_until_views_agree());
}

TEST_P(membership_of_any_size, converges_after_a_partition)
{
    membership_network network{GetParam()};
    ASSERT_TRUE(network.run_until_views_agree());
    auto const half = GetParam() / 2;
    for (std::size_t a = 0; a < half; ++a)
    {
        for (std::size_t b = half; b < GetParam(); ++b)
        {
            network.cut(a, b);
            network.cut(b, a);
        }
    }
    network.run(seconds{60});
    EXPECT_FALSE(network.views_agree());
    network.heal();
    EXPECT_TRUE(network.run_until_views_agree());
}

INSTANTIATE_TEST_SUITE_P(
    sizes, membership_of_any_size, testing::Values(2, 3, 9, 40));

TEST(membership, keeps_a_member_alive_that_only_one_peer_cannot_reach)
{
    membership_network network{9};
    network.run(seconds{15});
    network.cut(0, 1);
    network.run(seconds{120});
    EXPECT_EQ(network.dead_declarations, 0U);
    EXPECT_TRUE(network.views_agree());
}

TEST(membership, a_resumed_process_declares_no_member_dead)
{
    membership_network network{9};
    network.run(seconds{15});
    network.pause(0);
    network.run(seconds{60});
    auto const others = network.dead_declarations;
    network.resume(0);
    network.run(seconds{30});
    EXPECT_TRUE(network.views_agree());
    EXPECT_EQ(network.dead_declarations, others);
}

TEST(membership, the_leaving_state_reaches_all_members)
{
    membership_network network{9};
    network.run(seconds{15});
    auto const id = network.at(0).self().id;
    network.leave(0);
    for (std::size_t vm = 1; vm < 9; ++vm)
    {
        EXPECT_EQ(network.reported_state(vm, id), member_state::leaving);
    }
}

TEST(membership, gossips_the_offset_in_force_to_all)
{
    membership_network network{9};
    network.run(seconds{15});
    network.at(0).set_in_force(log_offset{7});
    network.run(seconds{9});
    for (std::size_t vm = 0; vm < 9; ++vm)
    {
        auto const known = network.at(vm).find(network.at(0).self().id);
        EXPECT_EQ(known->in_force, log_offset{7});
    }
}

} // namespace sapphirereel::test
