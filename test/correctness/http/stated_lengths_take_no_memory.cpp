// A replica, the store, a peer or a caller may state any length. A parser that
// took memory for it threw `std::bad_alloc`, which ended the process and all
// requests of others with it.
#include "sapphirereel/http/request_parser.hpp"
#include "sapphirereel/http/response_parser.hpp"
#include "support/allocation_watch.hpp"

#include <gtest/gtest.h>
#include <limits>

namespace sapphirereel::http {
namespace {

/// Bytes that a parser may take at once for a message of some hundred bytes.
constexpr auto most_bytes = std::size_t{16'384};

auto response_of_length(std::string const& length) -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nabc";
}

auto chunked_response_of_size(std::string const& size) -> std::string
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + size +
           "\r\nabc";
}

class stated_length : public testing::TestWithParam<char const*>
{};

TEST_P(stated_length, of_a_response_takes_no_memory)
{
    auto parser = response_parser{};
    auto const watch = sapphirereel::test::allocation_watch{most_bytes};
    auto const fed = parser.feed(response_of_length(GetParam()));
    ASSERT_TRUE(fed) << fed.error();
    EXPECT_FALSE(parser.complete());
    EXPECT_EQ(parser.take_body(), "abc");
    EXPECT_LE(watch.largest(), most_bytes);
}

TEST_P(stated_length, of_a_request_takes_no_memory)
{
    auto parser = request_parser{};
    parser.set_limits({16'384, std::numeric_limits<std::size_t>::max()});
    parser.append(
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
        std::string{GetParam()} + "\r\n\r\nabc");
    auto const watch = sapphirereel::test::allocation_watch{most_bytes};
    auto const next = parser.next();
    ASSERT_TRUE(next) << next.error().detail;
    EXPECT_FALSE(*next);
    EXPECT_LE(watch.largest(), most_bytes);
}

INSTANTIATE_TEST_SUITE_P(
    lengths,
    stated_length,
    testing::Values(
        "1000000",
        "40000000000",
        "98765432101234567",
        "9223372036854775806",
        "18446744073709551614"));

class stated_chunk : public testing::TestWithParam<char const*>
{};

TEST_P(stated_chunk, of_a_response_takes_no_memory)
{
    auto parser = response_parser{};
    auto const watch = sapphirereel::test::allocation_watch{most_bytes};
    auto const fed = parser.feed(chunked_response_of_size(GetParam()));
    EXPECT_FALSE(parser.complete());
    EXPECT_LE(watch.largest(), most_bytes);
    if (fed)
    {
        EXPECT_EQ(parser.take_body(), "abc");
    }
}

INSTANTIATE_TEST_SUITE_P(
    sizes,
    stated_chunk,
    testing::Values(
        "fffff",
        "fffffffff",
        "7fffffffffffffff",
        "fffffffffffffffe",
        "ffffffffffffffff",
        "1ffffffffffffffff"));

TEST(stated_length, that_is_no_number_is_refused)
{
    for (auto const* const length : {"-1", "1x", "", "99999999999999999999"})
    {
        auto parser = response_parser{};
        EXPECT_FALSE(parser.feed(response_of_length(length))) << length;
    }
}

/// More bytes than one field of a message can hold.
auto long_value() -> std::string
{
    return std::string(70'000, 'v');
}

TEST(long_field, of_a_request_within_the_limits_is_refused)
{
    auto parser = request_parser{};
    parser.set_limits({1'000'000, 1'000});
    parser.append(
        "GET / HTTP/1.1\r\nHost: h\r\nA: " + long_value() + "\r\n\r\n");
    auto const next = parser.next();
    ASSERT_FALSE(next);
    EXPECT_EQ(next.error().status, 431);
}

TEST(long_field, in_the_trailers_of_a_request_is_refused)
{
    auto parser = request_parser{};
    parser.append(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\nA: " +
        long_value() + "\r\n\r\n");
    auto const next = parser.next();
    ASSERT_FALSE(next);
    EXPECT_EQ(next.error().status, 431);
}

TEST(long_field, in_the_trailers_of_a_response_is_refused)
{
    auto parser = response_parser{};
    EXPECT_FALSE(parser.feed(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " +
        long_value() + "\r\n\r\n"));
}

} // namespace
} // namespace sapphirereel::http
