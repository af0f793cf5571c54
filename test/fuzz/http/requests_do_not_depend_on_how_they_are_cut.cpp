#include "sapphirereel/http/request_parser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace sapphirereel::http {
namespace {

auto parse(std::vector<std::string> const& pieces) -> std::vector<request>
{
    auto parser = request_parser{};
    auto read = std::vector<request>{};
    for (auto const& piece : pieces)
    {
        parser.append(piece);
        auto next = parser.next();
        while (next && *next)
        {
            read.push_back(std::move(**next));
            next = parser.next();
        }
    }
    return read;
}

RC_GTEST_PROP(request_cut, does_not_change_what_is_read, ())
{
    auto text = std::string{};
    auto const count = *rc::gen::inRange(1, 4);
    for (auto at = 0; at < count; ++at)
    {
        auto const body =
            *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
        text += write_request(
            "POST", "/" + std::to_string(at), {{"Host", "h"}}, body);
    }
    auto pieces = std::vector<std::string>{};
    auto rest = std::string_view{text};
    while (!rest.empty())
    {
        auto const size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
        pieces.emplace_back(rest.substr(0, size));
        rest.remove_prefix(size);
    }
    auto const whole = parse({text});
    RC_ASSERT(whole.size() == static_cast<std::size_t>(count));
    RC_ASSERT(parse(pieces) == whole);
}

RC_GTEST_PROP(
    request_bytes, of_any_kind_are_read_or_refused, (std::string const& bytes))
{
    auto parser = request_parser{};
    parser.append("GET / HTTP/1.1\r\n" + bytes + "\r\n\r\n");
    auto const next = parser.next();
    RC_ASSERT(next.has_value() || next.error().status >= 400);
}

} // namespace
} // namespace sapphirereel::http
