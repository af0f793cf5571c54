// Whatever a response or a request says of itself, its parser takes memory for
// what has arrived and throws nothing. The fuzz tests before this one had no
// bound on memory, and their heads stated no lengths.
#include "sapphirereel/http/request_parser.hpp"
#include "sapphirereel/http/response_parser.hpp"
#include "support/allocation_watch.hpp"
#include "support/mutation.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel::http {
namespace {

/// Bytes that a parser may take at once, beside a multiple of those that have
/// arrived.
constexpr auto base_bytes = std::size_t{32'768};
constexpr auto bytes_per_byte = std::size_t{4};

auto most_bytes_for(std::size_t arrived) -> std::size_t
{
    return base_bytes + bytes_per_byte * arrived;
}

/// A number as a length states it: small, at a limit, or beyond one.
auto any_length() -> rc::Gen<std::string>
{
    return rc::gen::oneOf(
        rc::gen::map(
            rc::gen::arbitrary<std::uint64_t>(),
            [](std::uint64_t number) { return std::to_string(number); }),
        rc::gen::map(
            rc::gen::inRange(0, 40),
            [](int number) { return std::to_string(number); }),
        rc::gen::element<std::string>(
            "18446744073709551615", "18446744073709551616", "ffffffffffffffff",
            "7fffffffffffffff", "fffffff", "-1", "1e9", "+5", " "));
}

auto any_body() -> std::string
{
    return std::string(*rc::gen::inRange<std::size_t>(0, 3'000), 'b');
}

auto any_framing() -> std::string
{
    auto const length = *any_length();
    switch (*rc::gen::inRange(0, 4))
    {
    case 0:
        return "Content-Length: " + length + "\r\n\r\n" + any_body();
    case 1:
        return "Transfer-Encoding: chunked\r\n\r\n" + length + "\r\n" +
               any_body();
    case 2:
        return "Content-Length: " + length +
               "\r\nTransfer-Encoding: chunked\r\n\r\n" + length + "\r\n" +
               any_body();
    default:
        return "Transfer-Encoding: chunked\r\n\r\n0\r\nT: " +
               std::string(*rc::gen::inRange<std::size_t>(0, 70'000), 't') +
               "\r\n\r\n";
    }
}

RC_GTEST_PROP(message_memory, of_a_response_follows_what_arrived, ())
{
    auto const pieces = test::cut_up(test::nearly_valid(
        {"HTTP/1.1 200 OK\r\nA: b\r\n" + any_framing(),
         "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\n" + any_framing()}));
    auto parser = response_parser{};
    auto arrived = std::size_t{0};
    for (auto const& piece : pieces)
    {
        arrived += piece.size();
        auto const most = most_bytes_for(arrived);
        auto const watch = test::allocation_watch{most};
        auto const fed = parser.feed(piece);
        std::ignore = parser.take_body();
        if (!fed)
        {
            break;
        }
    }
}

RC_GTEST_PROP(message_memory, of_a_request_follows_what_arrived, ())
{
    auto const pieces = test::cut_up(
        test::nearly_valid({"POST / HTTP/1.1\r\nHost: h\r\n" + any_framing()}));
    auto parser = request_parser{};
    parser.set_limits({100'000, std::numeric_limits<std::size_t>::max()});
    auto arrived = std::size_t{0};
    for (auto const& piece : pieces)
    {
        arrived += piece.size();
        auto const most = most_bytes_for(arrived);
        auto const watch = test::allocation_watch{most};
        parser.append(piece);
        if (!parser.next())
        {
            break;
        }
    }
}

} // namespace
} // namespace sapphirereel::http
