// A server in trouble may send bytes that are no answer until its caller closes
// the connection. Each parser refuses them within a bound.
#include "sapphirereel/http/request_parser.hpp"
#include "sapphirereel/http/response_parser.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::http {
namespace {

/// Bytes after which every endless message must have been refused.
constexpr auto max_accepted_bytes = std::size_t{262'144};

/// Bytes that are fed at a time.
constexpr auto piece_bytes = std::size_t{1'000};

auto repeated(std::string_view text) -> std::string
{
    auto piece = std::string{};
    while (piece.size() < piece_bytes)
    {
        piece += text;
    }
    return piece;
}

/// Whether a response that starts with `beginning` and goes on with `piece`
/// for ever is refused in time. The body is taken as it comes.
auto refuses_response(std::string_view beginning, std::string const& piece)
    -> bool
{
    auto parser = response_parser{};
    if (!parser.feed(beginning))
    {
        return false;
    }
    for (auto fed = std::size_t{0}; fed < max_accepted_bytes;
         fed += piece.size())
    {
        if (!parser.feed(piece))
        {
            return true;
        }
        std::ignore = parser.take_body();
    }
    return false;
}

auto refuses_request(std::string_view beginning, std::string const& piece)
    -> bool
{
    auto parser = request_parser{};
    parser.append(beginning);
    for (auto fed = std::size_t{0}; fed < max_accepted_bytes;
         fed += piece.size())
    {
        parser.append(piece);
        if (!parser.next())
        {
            return true;
        }
    }
    return false;
}

constexpr auto chunked_response =
    std::string_view{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
constexpr auto chunked_request = std::string_view{
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"};

TEST(endless_response, in_its_status_line_is_refused)
{
    EXPECT_TRUE(refuses_response("HTTP/1.1 200 ", repeated("x")));
}

TEST(endless_response, of_no_protocol_is_refused)
{
    EXPECT_TRUE(refuses_response("", repeated("noise")));
    EXPECT_TRUE(refuses_response("", repeated(std::string{"\0\1", 2})));
}

TEST(endless_response, in_its_fields_is_refused)
{
    EXPECT_TRUE(refuses_response("HTTP/1.1 200 OK\r\n", repeated("A: b\r\n")));
    EXPECT_TRUE(refuses_response("HTTP/1.1 200 OK\r\nA: ", repeated("b")));
}

TEST(endless_response, of_interim_responses_is_refused)
{
    EXPECT_TRUE(
        refuses_response("", repeated("HTTP/1.1 102 Processing\r\n\r\n")));
}

TEST(endless_response, in_a_chunk_extension_is_refused)
{
    EXPECT_TRUE(refuses_response(
        std::string{chunked_response} + "1;a=", repeated("b")));
}

TEST(endless_response, in_its_trailers_is_refused)
{
    EXPECT_TRUE(refuses_response(
        std::string{chunked_response} + "0\r\n", repeated("A: b\r\n")));
    EXPECT_TRUE(refuses_response(
        std::string{chunked_response} + "0\r\nA: ", repeated("b")));
}

TEST(endless_request, in_a_chunk_extension_is_refused)
{
    EXPECT_TRUE(
        refuses_request(std::string{chunked_request} + "1;a=", repeated("b")));
}

TEST(endless_request, in_its_trailers_is_refused)
{
    EXPECT_TRUE(refuses_request(
        std::string{chunked_request} + "0\r\n", repeated("A: b\r\n")));
}

TEST(endless_request, in_its_head_is_refused)
{
    EXPECT_TRUE(refuses_request("GET / HTTP/1.1\r\n", repeated("A: b\r\n")));
    EXPECT_TRUE(refuses_request("GET /", repeated("x")));
}

TEST(long_response, of_many_small_chunks_is_accepted)
{
    EXPECT_FALSE(refuses_response(chunked_response, repeated("1\r\na\r\n")));
}

} // namespace
} // namespace sapphirereel::http
