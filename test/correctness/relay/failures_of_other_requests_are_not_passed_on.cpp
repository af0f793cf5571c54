// A replica writes its failure of an earlier request once more on a kept
// connection. It must not reach the caller of the next request.
#include "support/relay/stale_response_world.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

auto fail_earlier(std::string const& earlier) -> std::string
{
    return executed_response(earlier, 422, "another request's failure");
}

auto fail_unnamed(std::string const&) -> std::string
{
    return executed_response({}, 422, "another request's failure");
}

auto expect_own_response(stale_response_world& with, std::string const& target)
    -> void
{
    auto const answer = with.second_response(target);
    ASSERT_TRUE(answer);
    EXPECT_NE(answer->head.status, 422);
    EXPECT_NE(answer->body, "another request's failure");
}

TEST(stale_failure, is_not_passed_on_to_the_caller_of_a_stream)
{
    auto with = stale_response_world{fail_earlier};
    expect_own_response(with, "/stream/a");
}

TEST(stale_failure, is_not_passed_on_to_the_caller_of_a_request)
{
    auto with = stale_response_world{fail_earlier};
    expect_own_response(with, "/once/a");
}

TEST(stale_failure, without_an_id_is_not_passed_on_to_the_caller_of_a_stream)
{
    auto with = stale_response_world{fail_unnamed};
    expect_own_response(with, "/stream/a");
}

TEST(stale_failure, without_an_id_is_not_passed_on_to_the_caller_of_a_request)
{
    auto with = stale_response_world{fail_unnamed};
    expect_own_response(with, "/once/a");
}

} // namespace
} // namespace sapphirereel::relay::test
