// A replica writes an earlier response once more before its response to the
// request: the caller gets the latter, and the connection is not used again.
#include "support/relay/stale_response_world.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::relay::test {
namespace {

constexpr auto own_body = std::string_view{"id: 1\ndata: r2\n\n"};

/// Writes an earlier response `copies` times.
auto repeat(int copies) -> stale_response_replica::stale_response
{
    return [copies](std::string const& earlier) {
        auto written = std::string{};
        for (auto at = 0; at < copies; ++at)
        {
            written += executed_response(earlier, 200, "stale");
        }
        return written;
    };
}

auto expect_own_response(int copies) -> void
{
    for (auto const* target : {"/once/a", "/stream/a", "/safe/a"})
    {
        auto with = stale_response_world{repeat(copies)};
        auto const answer = with.second_response(target);
        ASSERT_TRUE(answer) << target;
        EXPECT_EQ(answer->head.status, 200) << target;
        EXPECT_EQ(answer->body, own_body) << target;
        EXPECT_EQ(with.replica.runs["r2"], 1) << target;
        auto const next = with.world.send_request_as("r3", "POST", target);
        EXPECT_TRUE(next);
        EXPECT_EQ(with.replica.opened_connections(), 2U) << target;
    }
}

TEST(response_after_a_stale_one, is_delivered)
{
    expect_own_response(1);
}

TEST(response_after_a_stale_one, is_delivered_after_several)
{
    expect_own_response(4);
}

TEST(response_after_a_stale_one, is_not_awaited_after_too_many)
{
    auto with = stale_response_world{repeat(5)};
    auto const answer = with.second_response("/once/a");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->head.status, 502);
}

} // namespace
} // namespace sapphirereel::relay::test
