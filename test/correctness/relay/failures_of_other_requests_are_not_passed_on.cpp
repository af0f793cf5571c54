// A replica writes its failure of an earlier request once more on a kept
// connection. It must not reach the caller of the next request.
#include "support/relay/stale_response_replica.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

struct failing_replica
{
    explicit failing_replica(stale_response_replica::stale_response stale)
        : replica(world.loop, std::move(stale))
    {
        replica.executes_first = true;
        world.configure(1);
        world.add_at("p", "plain", replica.port());
        world.add_at("e", "engine", replica.port());
    }

    auto second_response(std::string const& target) -> buffered_response
    {
        EXPECT_TRUE(world.start());
        EXPECT_TRUE(world.send_request_as("r1", "POST", target));
        return world.send_request_as("r2", "POST", target);
    }

    relay_fixture world;
    stale_response_replica replica;
};

auto fail_earlier(std::string const& earlier) -> std::string
{
    return executed_response(earlier, 422, "another request's failure");
}

auto fail_unnamed(std::string const&) -> std::string
{
    return executed_response({}, 422, "another request's failure");
}

auto expect_own_response(failing_replica& with, std::string const& target)
    -> void
{
    auto const answer = with.second_response(target);
    ASSERT_TRUE(answer);
    EXPECT_NE(answer->head.status, 422);
    EXPECT_NE(answer->body, "another request's failure");
}

TEST(stale_failure, is_not_passed_on_to_the_caller_of_a_stream)
{
    auto with = failing_replica{fail_earlier};
    expect_own_response(with, "/stream/a");
}

TEST(stale_failure, is_not_passed_on_to_the_caller_of_a_request)
{
    auto with = failing_replica{fail_earlier};
    expect_own_response(with, "/once/a");
}

TEST(stale_failure, without_an_id_is_not_passed_on_to_the_caller_of_a_stream)
{
    auto with = failing_replica{fail_unnamed};
    expect_own_response(with, "/stream/a");
}

TEST(stale_failure, without_an_id_is_not_passed_on_to_the_caller_of_a_request)
{
    auto with = failing_replica{fail_unnamed};
    expect_own_response(with, "/once/a");
}

} // namespace
} // namespace sapphirereel::relay::test
