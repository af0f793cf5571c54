// Guards against figures of callers and replicas that have no defined value as
// a number of requests, tokens, events or milliseconds.
#include "sapphirereel/deployment/wire_format.hpp"

#include <cmath>
#include <gtest/gtest.h>

namespace sapphirereel::deployment {
namespace {

auto response_with(std::string name, std::string value)
    -> relay::replica_response
{
    auto head = http::response_head{};
    head.status = 503;
    head.fields = {{std::move(name), std::move(value)}};
    return wire_format::read_response(head);
}

auto request_with(std::string name, std::string value)
{
    auto request = http::request{};
    request.method = "GET";
    request.target = "/a";
    request.fields = {
        {"Host", "h"},
        {"X-Sapphirereel-Request-Id", "r1"},
        {std::move(name), std::move(value)}};
    return wire_format::read_request(request);
}

TEST(odd_load, is_none)
{
    for (auto const* const load :
         {"-1,0,8", "1e30,0,8", "3,1e30,8", "3,0,1e30", "3,0,-8",
          "3,4294967296,8", "-1e308,0,8,100"})
    {
        EXPECT_FALSE(response_with("X-Sapphirereel-Replica-Load", load).load)
            << load;
    }
    EXPECT_TRUE(response_with("X-Sapphirereel-Replica-Load", "3,0,8").load);
}

TEST(odd_load, that_is_not_finite_has_finite_figures)
{
    for (auto const* const load : {"inf,nan,8,inf", "3,0,8,nan", "1e999,0,8"})
    {
        auto const read =
            response_with("X-Sapphirereel-Replica-Load", load).load;
        EXPECT_TRUE(!read || !read->pace || std::isfinite(*read->pace)) << load;
    }
}

TEST(odd_times_of_replicas, are_none_or_bounded)
{
    for (auto const* const time : {"-1", "nan", "-1e30", "inf", "1e999", "x"})
    {
        EXPECT_FALSE(response_with("Retry-After", time).backoff) << time;
        EXPECT_FALSE(response_with("X-Sapphirereel-Cold-Ms", time).cold)
            << time;
        EXPECT_FALSE(response_with("Server-Limit", time).limits.rate) << time;
    }
    EXPECT_LE(
        response_with("Retry-After", "1e30").backoff, std::chrono::hours{1});
    EXPECT_LE(
        response_with("X-Sapphirereel-Cold-Ms", "1e30").cold,
        std::chrono::hours{1});
}

TEST(odd_deadline, is_refused_or_bounded)
{
    for (auto const* const deadline : {"nan", "inf", "-inf", "-1", "x", ""})
    {
        EXPECT_FALSE(request_with("X-Sapphirereel-Deadline-Ms", deadline))
            << deadline;
    }
    auto const long_one = request_with("X-Sapphirereel-Deadline-Ms", "1e30");
    ASSERT_TRUE(long_one);
    EXPECT_EQ(long_one->caller_timeout, std::chrono::hours{24});
}

TEST(odd_size, is_a_bounded_number_of_tokens)
{
    for (auto const* const size :
         {"nan,nan", "1e300,1e300", "-1,-1e300", "inf,-inf", ",", "x,y"})
    {
        auto const read = request_with("X-Sapphirereel-Token-Count", size);
        ASSERT_TRUE(read && read->generation);
        for (auto const tokens :
             {read->generation->prompt, read->generation->most_output})
        {
            EXPECT_GE(tokens, 0) << size;
            EXPECT_LE(tokens, 1e9) << size;
        }
    }
}

auto events_made(std::string const& stated) -> std::uint64_t
{
    auto answer = http::response{};
    answer.head.status = 200;
    answer.body = R"({"handle":"h","create-rev":)" + stated + "}";
    return wire_format::read_migration_response(answer).events_made;
}

TEST(odd_number_of_events, is_none)
{
    EXPECT_EQ(events_made("12"), 12U);
    EXPECT_EQ(events_made("12.0"), 12U);
    for (auto const* const stated :
         {"-1", "1e30", "-1e30", "1e400", "\"7\"", "null", "[]", "true"})
    {
        EXPECT_EQ(events_made(stated), 0U) << stated;
    }
}

} // namespace
} // namespace sapphirereel::deployment
