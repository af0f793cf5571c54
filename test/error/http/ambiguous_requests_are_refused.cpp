#include "sapphirereel/http/request_parser.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::http {
namespace {

auto status_of(std::string_view bytes, message_limits limits = {}) -> int
{
    auto parser = request_parser{};
    parser.set_limits(limits);
    parser.append(bytes);
    auto const next = parser.next();
    return next ? 0 : next.error().status;
}

TEST(ambiguous_request, with_two_lengths_is_refused)
{
    EXPECT_EQ(
        status_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                  "Content-Length: 1\r\n\r\na"),
        400);
}

TEST(ambiguous_request, with_a_length_and_chunks_is_refused)
{
    EXPECT_EQ(
        status_of("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        400);
}

TEST(ambiguous_request, with_another_transfer_coding_is_refused)
{
    EXPECT_EQ(
        status_of("POST / HTTP/1.1\r\nHost: h\r\n"
                  "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
        400);
}

TEST(ambiguous_request, with_a_folded_field_is_refused)
{
    EXPECT_EQ(
        status_of("GET / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n more\r\n\r\n"), 400);
}

TEST(ambiguous_request, with_a_bare_line_feed_is_refused)
{
    EXPECT_EQ(status_of("GET / HTTP/1.1\r\nHost: h\nX-A: 1\r\n\r\n"), 400);
}

TEST(ambiguous_request, with_a_space_before_the_colon_is_refused)
{
    EXPECT_EQ(status_of("GET / HTTP/1.1\r\nHost : h\r\n\r\n"), 400);
}

TEST(ambiguous_request, without_a_host_or_with_two_is_refused)
{
    EXPECT_EQ(status_of("GET / HTTP/1.1\r\n\r\n"), 400);
    EXPECT_EQ(status_of("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"), 400);
}

TEST(long_request, is_refused_by_its_head_or_its_body)
{
    auto const limits = message_limits{64, 4};
    auto const long_head =
        "GET /" + std::string(100, 'a') + " HTTP/1.1\r\nHost: h\r\n\r\n";
    EXPECT_EQ(status_of(long_head, limits), 431);
    EXPECT_EQ(
        status_of(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde",
            limits),
        413);
}

} // namespace
} // namespace sapphirereel::http
