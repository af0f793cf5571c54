// Guards against trailers that are believed as fields of the head, such as the
// id of another request, where they arrive together with it.
#include "sapphirereel/http/response_parser.hpp"

#include <gtest/gtest.h>

namespace sapphirereel::http {
namespace {

constexpr auto response =
    std::string_view{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "4\r\nbody\r\n0\r\nX-Late: a\r\n\r\n"};

/// Feeds the response in pieces of a size and looks at its head.
auto expect_no_trailer(std::size_t size) -> void
{
    auto parser = response_parser{};
    for (auto at = std::size_t{0}; at < response.size(); at += size)
    {
        ASSERT_TRUE(parser.feed(response.substr(at, size)));
    }
    ASSERT_TRUE(parser.head());
    EXPECT_FALSE(find(parser.head()->fields, "X-Late"));
    EXPECT_EQ(parser.take_body(), "body");
    EXPECT_TRUE(parser.complete());
}

TEST(trailers, stay_out_of_the_head_in_one_piece)
{
    expect_no_trailer(response.size());
}

TEST(trailers, stay_out_of_the_head_byte_by_byte)
{
    expect_no_trailer(1);
}

} // namespace
} // namespace sapphirereel::http
