#include "sapphirereel/http/response_parser.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::http {
namespace {

TEST(response_parser, ends_at_the_length)
{
    auto parser = response_parser{};
    ASSERT_TRUE(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"));
    EXPECT_FALSE(parser.complete());
    ASSERT_TRUE(parser.feed("c"));
    EXPECT_TRUE(parser.complete());
    EXPECT_EQ(parser.take_body(), "abc");
    EXPECT_FALSE(parser.has_excess());
}

TEST(response_parser, notes_bytes_that_belong_to_no_response)
{
    auto parser = response_parser{};
    ASSERT_TRUE(
        parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1"));
    EXPECT_TRUE(parser.complete());
    EXPECT_TRUE(parser.has_excess());
}

TEST(response_parser, yields_a_chunked_body_piece_by_piece)
{
    auto parser = response_parser{};
    ASSERT_TRUE(parser.feed(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"));
    EXPECT_EQ(parser.take_body(), "ab");
    EXPECT_FALSE(parser.complete());
    ASSERT_TRUE(parser.feed("1\r\nc\r\n0\r\n\r\n"));
    EXPECT_EQ(parser.take_body(), "c");
    EXPECT_TRUE(parser.complete());
}

TEST(response_parser, without_a_length_ends_with_its_connection)
{
    auto parser = response_parser{};
    ASSERT_TRUE(parser.feed("HTTP/1.1 200 OK\r\n\r\nabc"));
    EXPECT_FALSE(parser.complete());
    EXPECT_TRUE(parser.ends_with_connection());
    parser.feed_end();
    EXPECT_TRUE(parser.complete());
}

TEST(response_parser, cut_short_of_its_length_stays_incomplete)
{
    auto parser = response_parser{};
    ASSERT_TRUE(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"));
    parser.feed_end();
    EXPECT_FALSE(parser.complete());
}

TEST(response_parser, passes_over_interim_responses)
{
    auto parser = response_parser{};
    ASSERT_TRUE(parser.feed("HTTP/1.1 100 Continue\r\n\r\n"));
    EXPECT_FALSE(parser.head());
    ASSERT_TRUE(parser.feed("HTTP/1.1 204 No Content\r\n\r\n"));
    ASSERT_TRUE(parser.head());
    EXPECT_EQ(parser.head()->status, 204);
    EXPECT_TRUE(parser.complete());
}

TEST(response_parser, refuses_what_is_no_response)
{
    auto parser = response_parser{};
    EXPECT_FALSE(parser.feed("rubbish that is no status line\r\n\r\n"));
}

} // namespace
} // namespace sapphirereel::http
