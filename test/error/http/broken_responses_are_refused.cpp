// Guards against a response of a replica in trouble that is taken for an
// answer: its status is no status, a line of its head is no field, or its
// length is ambiguous. Each comes in one piece and byte by byte, as what is
// believed must not depend on how bytes arrive.
#include "sapphirereel/http/response_parser.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::http {
namespace {

using namespace std::string_literals;

/// What a parser has made of the bytes of a connection.
struct reading
{
    bool is_refused = false;
    std::optional<response_head> head;
    std::string body;
    bool is_complete = false;
};

auto read_pieces(std::string_view bytes, std::size_t size) -> reading
{
    auto parser = response_parser{};
    auto result = reading{};
    while (!bytes.empty() && !result.is_refused)
    {
        result.is_refused = !parser.feed(bytes.substr(0, size));
        bytes.remove_prefix(std::min(size, bytes.size()));
    }
    if (result.is_refused)
    {
        result.head = parser.head();
        return result;
    }
    parser.feed_end();
    result.head = parser.head();
    result.body = parser.take_body();
    result.is_complete = parser.complete();
    return result;
}

/// Reads a response in one piece, then byte by byte.
auto read_both_ways(std::string_view bytes) -> std::vector<reading>
{
    return {read_pieces(bytes, bytes.size()), read_pieces(bytes, 1)};
}

auto expect_refused(std::string const& bytes) -> void
{
    for (auto const& each : read_both_ways(bytes))
    {
        EXPECT_TRUE(each.is_refused);
        EXPECT_FALSE(each.head) << each.head->status;
    }
}

/// A whole response after a status line, framed in several ways.
auto framings_of(std::string const& status_line) -> std::vector<std::string>
{
    return {
        status_line + "\r\n\r\nbody",
        status_line + "\r\nContent-Length: 4\r\n\r\nbody",
        status_line + "\r\nContent-Length: 0\r\n\r\n",
        status_line + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "4\r\nbody\r\n0\r\n\r\n"};
}

class no_status : public ::testing::TestWithParam<std::string>
{};

TEST_P(no_status, is_refused)
{
    for (auto const& each : framings_of("HTTP/1.1 " + GetParam() + " Status"))
    {
        SCOPED_TRACE(each);
        expect_refused(each);
    }
}

TEST_P(no_status, is_no_interim_response)
{
    expect_refused(
        "HTTP/1.1 " + GetParam() +
        " Status\r\nContent-Length: 0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
}

INSTANTIATE_TEST_SUITE_P(
    response_parser,
    no_status,
    ::testing::Values(
        "000", "001", "099", "101", "600", "999", "20", "2000", "2x0", "-20"));

class interim_status : public ::testing::TestWithParam<std::string>
{};

TEST_P(interim_status, is_passed_over)
{
    auto const bytes = "HTTP/1.1 " + GetParam() +
                       " Wait\r\nX: a\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    for (auto const& each : read_both_ways(bytes))
    {
        ASSERT_TRUE(each.head);
        EXPECT_EQ(each.head->status, 200);
        EXPECT_EQ(each.body, "body");
        EXPECT_TRUE(each.is_complete);
    }
}

INSTANTIATE_TEST_SUITE_P(
    response_parser,
    interim_status,
    ::testing::Values("100", "102", "103", "199"));

class final_status : public ::testing::TestWithParam<int>
{};

TEST_P(final_status, is_taken)
{
    auto const bytes = "HTTP/1.1 " + std::to_string(GetParam()) +
                       " Status\r\nContent-Length: 0\r\n\r\n";
    for (auto const& each : read_both_ways(bytes))
    {
        ASSERT_TRUE(each.head);
        EXPECT_EQ(each.head->status, GetParam());
        EXPECT_TRUE(each.is_complete);
    }
}

INSTANTIATE_TEST_SUITE_P(
    response_parser,
    final_status,
    ::testing::Values(200, 204, 299, 304, 418, 500, 599));

class no_field : public ::testing::TestWithParam<std::string>
{};

TEST_P(no_field, is_refused_first)
{
    expect_refused(
        "HTTP/1.1 200 OK\r\n" + GetParam() +
        "\r\nContent-Length: 4\r\n\r\nbody");
}

TEST_P(no_field, is_refused_behind_another)
{
    expect_refused(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: a\r\n" + GetParam() +
        "\r\n\r\nbody");
}

TEST_P(no_field, is_refused_in_an_interim_response)
{
    expect_refused(
        "HTTP/1.1 103 Early Hints\r\nX: a\r\n" + GetParam() +
        "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
}

// The head has been passed on when the trailers arrive, so that the response
// stays incomplete.
TEST_P(no_field, is_refused_in_trailers)
{
    auto const bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\nbody\r\n0\r\nX: a\r\n" +
                       GetParam() + "\r\n\r\n";
    for (auto const& each : read_both_ways(bytes))
    {
        EXPECT_FALSE(each.is_complete);
    }
}

INSTANTIATE_TEST_SUITE_P(
    response_parser,
    no_field,
    ::testing::Values(
        "X Y: b",
        "X\tY: b",
        "X-Y : b",
        "X-Y\t: b",
        " X-Y: b",
        "\tX-Y: b",
        " folded",
        "\x01X: b",
        "X\x01Y: b",
        "X\0Y: b"s,
        "X\x7f: b",
        "X\xe9: b",
        "X[1]: b",
        ": b",
        "no colon",
        "X: a\rb",
        "X: a\0b"s,
        "X: a\x01b",
        "X: a\x7f"));

class ambiguous_length : public ::testing::TestWithParam<std::string>
{};

TEST_P(ambiguous_length, is_refused)
{
    expect_refused(
        "HTTP/1.1 200 OK\r\n" + GetParam() + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
}

INSTANTIATE_TEST_SUITE_P(
    response_parser,
    ambiguous_length,
    ::testing::Values(
        "Content-Length : 4",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding\x01: chunked",
        "Content-Length: 4\r\nContent-Length: 2",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4",
        "Content-Length: four",
        "Content-Length: -4",
        "Content-Length: 99999999999999999999999"));

class no_status_line : public ::testing::TestWithParam<std::string>
{};

TEST_P(no_status_line, is_refused)
{
    expect_refused(GetParam() + "\r\nContent-Length: 4\r\n\r\nbody");
}

INSTANTIATE_TEST_SUITE_P(
    response_parser,
    no_status_line,
    ::testing::Values(
        "HTTP/2.0 200 OK",
        "HTTP/1.9 200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 200 O\x01K",
        "200 OK",
        " HTTP/1.1 200 OK"));

} // namespace
} // namespace sapphirereel::http
