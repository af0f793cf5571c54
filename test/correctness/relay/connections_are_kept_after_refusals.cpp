// New connections to replicas are dear. A refusal costs one only if the same
// request comes back to the replica, and at last when a connection has carried
// so many refusals that they are no longer remembered.
#include "support/relay/repeating_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

/// A relay before one replica that refuses each request once.
struct refusing_replica
{
    refusing_replica()
        : replica(world.loop)
    {
        world.configure(1);
        world.add_at("p", "plain", replica.port());
    }

    /// Sends requests of which each is refused.
    auto send_refused(std::size_t requests) -> void
    {
        for (auto at = std::size_t{0}; at < requests; ++at)
        {
            auto const answer = world.send_request_as(
                fmt::format("r{}", ++sent_), "POST", "/once/a");
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->head.status, 503);
        }
    }

    relay_fixture world;
    repeating_replica replica;

private:
    int sent_ = 0;
};

TEST(connection_after_refusals, carries_other_requests)
{
    auto with = refusing_replica{};
    ASSERT_TRUE(with.world.start());
    with.send_refused(5);
    EXPECT_EQ(with.replica.opened_connections(), 1U);
}

TEST(connection_after_refusals, is_not_taken_for_the_same_request_alone)
{
    auto with = refusing_replica{};
    ASSERT_TRUE(with.world.start());
    with.send_refused(2);
    auto const again = with.world.send_request_as("r1", "POST", "/once/a");
    ASSERT_TRUE(again);
    EXPECT_EQ(again->head.status, 200);
    EXPECT_EQ(with.replica.opened_connections(), 2U);
    // Both connections serve on.
    with.send_refused(2);
    EXPECT_EQ(with.replica.opened_connections(), 2U);
}

TEST(connection_after_refusals, ends_after_as_many_as_are_remembered)
{
    auto with = refusing_replica{};
    ASSERT_TRUE(with.world.start());
    with.send_refused(max_failed_requests);
    EXPECT_EQ(with.replica.opened_connections(), 1U);
    with.send_refused(1);
    EXPECT_EQ(with.replica.opened_connections(), 2U);
}

} // namespace
} // namespace sapphirereel::relay::test
