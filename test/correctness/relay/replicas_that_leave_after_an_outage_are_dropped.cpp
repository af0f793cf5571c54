// A replica whose entry is removed soon after an outage of the log was taken
// for one that had lapsed in it, and was used beyond the time for which it
// serves (DRAIN).
#include "support/relay/outage_world.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

using std::chrono::milliseconds;

/// Time for which a replica that leaves goes on serving.
constexpr auto time_of_service = milliseconds{2'000};

TEST(replica_that_leaves_after_an_outage, is_dropped_when_entries_must_be_back)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{1'200});
    world.remove("one");
    EXPECT_LT(world.time_in_use("one"), time_of_service);
    EXPECT_TRUE(world.uses("two"));
}

TEST(replica_that_leaves_after_an_outage, is_not_kept_for_a_late_answer)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    // The log was back when the call was sent that it answered so late.
    ASSERT_TRUE(world.return_log(milliseconds{900}));
    world.wait(milliseconds{300});
    world.remove("one");
    EXPECT_LT(world.time_in_use("one"), milliseconds{1'700});
}

TEST(replica_that_leaves_after_an_outage, is_dropped_at_once_after_the_grace)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{2'300});
    world.remove("one");
    EXPECT_LT(world.time_in_use("one"), milliseconds{1'000});
}

TEST(replica_that_lapsed, is_used_through_another_outage)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    world.remove("one");
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{300});
    EXPECT_TRUE(world.uses("one"));
    ASSERT_TRUE(world.lose_log());
    world.wait(milliseconds{2'500});
    EXPECT_TRUE(world.uses("one"));
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{1'500});
    EXPECT_TRUE(world.uses("one"));
    // Its entry is not written again, so that it has left.
    EXPECT_LT(world.time_in_use("one"), milliseconds{1'400});
}

TEST(replica_that_left_in_the_grace, is_not_used_through_another_outage)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    ASSERT_TRUE(world.return_log());
    world.wait(milliseconds{1'200});
    world.remove("one");
    world.wait(milliseconds{300});
    ASSERT_TRUE(world.lose_log());
    EXPECT_LT(world.time_in_use("one"), time_of_service);
}

TEST(replica_that_lapsed, is_not_used_where_another_has_its_address)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start_as_reader());
    ASSERT_TRUE(world.lose_log());
    world.remove("one");
    world.add_at("three", "plain", world.port_of_one());
    ASSERT_TRUE(world.return_log());
    ASSERT_TRUE(world.run_until([&] { return world.uses("three"); }));
    EXPECT_FALSE(world.uses("one"));
}

// The readers of the log take turns while it is lost. One whose first call
// comes after its return has seen no failure itself.
TEST(replica_that_lapsed, is_used_by_a_daemon_that_begins_to_read)
{
    auto world = outage_world{};
    ASSERT_TRUE(world.start());
    auto peers = reading_peers{world};
    peers.run_for(milliseconds{4'500});
    ASSERT_FALSE(world.logged("became a primary log reader"));
    peers.reach_log = false;
    peers.lapse_grace = milliseconds{2'200};
    world.remove("one");
    peers.run_for(milliseconds{800});
    ASSERT_TRUE(world.logged("became a primary log reader"));
    ASSERT_TRUE(world.node().is_log_reachable());
    EXPECT_TRUE(world.uses("one"));
    peers.lapse_grace = milliseconds{0};
    EXPECT_LT(world.time_in_use("one"), milliseconds{2'400});
}

} // namespace
} // namespace sapphirereel::relay::test
