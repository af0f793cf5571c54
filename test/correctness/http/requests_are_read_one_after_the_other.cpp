#include "sapphirereel/http/request_parser.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::http {
namespace {

constexpr auto first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                       "X-Id: 1\r\n\r\nabc";
constexpr auto second = "GET /b?x=1 HTTP/1.1\r\nHost: h\r\n\r\n";

TEST(request_parser, yields_nothing_before_the_body_is_whole)
{
    auto parser = request_parser{};
    parser.append(std::string_view{first}.substr(0, 50));
    auto const next = parser.next();
    ASSERT_TRUE(next.has_value());
    EXPECT_FALSE(next->has_value());
    EXPECT_TRUE(parser.has_partial());
}

TEST(request_parser, keeps_what_follows_a_request)
{
    auto parser = request_parser{};
    parser.append(std::string{first} + second);
    auto const one = parser.next();
    ASSERT_TRUE(one && *one);
    EXPECT_EQ((*one)->method, "POST");
    EXPECT_EQ((*one)->body, "abc");
    EXPECT_EQ(find((*one)->fields, "x-id"), "1");
    auto const two = parser.next();
    ASSERT_TRUE(two && *two);
    EXPECT_EQ((*two)->target, "/b?x=1");
    EXPECT_TRUE((*two)->body.empty());
    EXPECT_FALSE(parser.has_partial());
}

TEST(request_parser, joins_the_chunks_of_a_body)
{
    auto parser = request_parser{};
    parser.append(
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    auto const next = parser.next();
    ASSERT_TRUE(next && *next);
    EXPECT_EQ((*next)->body, "abcde");
}

TEST(request_parser, says_once_that_the_body_waits_for_a_go_ahead)
{
    auto parser = request_parser{};
    parser.append("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                  "Expect: 100-continue\r\n\r\n");
    ASSERT_TRUE(parser.next().has_value());
    EXPECT_TRUE(parser.take_continue_wanted());
    EXPECT_FALSE(parser.take_continue_wanted());
}

TEST(request_parser, tells_whether_the_connection_goes_on)
{
    auto parser = request_parser{};
    parser.append("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    auto const next = parser.next();
    ASSERT_TRUE(next && *next);
    EXPECT_FALSE((*next)->keep_alive);
}

} // namespace
} // namespace sapphirereel::http
