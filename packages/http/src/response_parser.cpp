#include "sapphirereel/http/response_parser.hpp"

#include "arriving_body.hpp"
#include "folded_line.hpp"
#include "parser_input.hpp"

#include <boost/beast/http/parser.hpp>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace sapphirereel::http {
namespace {

namespace beast = boost::beast::http;

using beast_parser = beast::response_parser<arriving_body>;

constexpr auto folded_line_error =
    std::string_view{"a field of the response spans several lines"};

/// Whether a status announces that the response is still to come. 101 is none
/// of these: it answers an offer of another protocol, which no request makes.
auto is_interim(unsigned status) -> bool
{
    return status / 100 == 1 && status != 101;
}

auto is_final(unsigned status) -> bool
{
    return status >= 200 && status <= 599;
}

/// Reads the head; `to_head` tells that the request was a HEAD.
auto read_head(beast_parser const& parser, bool to_head) -> response_head
{
    auto const status = parser.get().result();
    auto const has_body = !to_head && status != beast::status::no_content &&
                          status != beast::status::not_modified;
    auto head = response_head{};
    auto const& message = parser.get();
    head.status = static_cast<int>(message.result_int());
    head.reason = std::string{message.reason()};
    head.keep_alive = parser.keep_alive();
    head.ends_with_connection = parser.need_eof();
    if (auto const length = parser.content_length(); length && has_body)
    {
        head.stated_length = *length;
    }
    for (auto const& each : message)
    {
        head.fields.push_back(
            {std::string{each.name_string()}, std::string{each.value()}});
    }
    return head;
}

} // namespace

struct response_parser::state
{
    bool to_head = false;
    /// Bytes that the parser has not taken.
    std::string buffer;
    /// What the parser has taken of a head that is not whole.
    std::string partial_head;
    std::optional<beast_parser> parser;
    std::optional<response_head> head;
    unsigned interim_responses = 0;

    auto restart() -> void;
    auto put(std::string_view bytes) -> tl::expected<std::size_t, std::string>;
    auto take_head() -> tl::expected<void, std::string>;
    auto pass_interim() -> tl::expected<void, std::string>;
};

/// Begins to read a response.
auto response_parser::state::restart() -> void
{
    parser.emplace();
    parser->header_limit(max_unparsed_response_bytes);
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser->skip(to_head);
    // The parser stops after the head and after each chunk, so that these are
    // read in the same way whether or not more has arrived with them.
    parser->eager(false);
}

/// Puts bytes into the parser; returns how many it took, 0 if it needs more.
auto response_parser::state::put(std::string_view bytes)
    -> tl::expected<std::size_t, std::string>
{
    auto const is_in_head = !parser->is_header_done();
    auto error = boost::system::error_code{};
    auto const used = put_bytes(*parser, bytes, error);
    if (error && error != beast::error::need_more)
    {
        return tl::unexpected(error.message());
    }
    auto const taken = bytes.substr(0, used);
    if (is_in_head)
    {
        partial_head.append(taken);
        if (auto const head_taken = take_head(); !head_taken)
        {
            return tl::unexpected(head_taken.error());
        }
    }
    else if (parser->is_done() && parser->chunked() && has_folded_line(taken))
    {
        return tl::unexpected(std::string{folded_line_error});
    }
    return used;
}

/// Takes the head if it is whole.
auto response_parser::state::take_head() -> tl::expected<void, std::string>
{
    if (!parser->is_header_done())
    {
        return {};
    }
    auto const text = std::exchange(partial_head, {});
    if (has_folded_line(text))
    {
        return tl::unexpected(std::string{folded_line_error});
    }
    auto const status = parser->get().result_int();
    if (is_interim(status))
    {
        return pass_interim();
    }
    if (!is_final(status))
    {
        return tl::unexpected(
            fmt::format("{} is not the status of a response", status));
    }
    head = read_head(*parser, to_head);
    return {};
}

auto response_parser::state::pass_interim() -> tl::expected<void, std::string>
{
    if (++interim_responses > max_interim_responses)
    {
        return tl::unexpected(std::string{"too many interim responses"});
    }
    restart();
    return {};
}

response_parser::response_parser(bool to_head)
    : state_(std::make_unique<state>())
{
    state_->to_head = to_head;
    state_->restart();
}
response_parser::~response_parser() = default;
response_parser::response_parser(response_parser&&) noexcept = default;
auto response_parser::operator=(response_parser&&) noexcept
    -> response_parser& = default;

auto response_parser::feed(std::string_view bytes)
    -> tl::expected<void, std::string>
{
    auto& now = *state_;
    now.buffer.append(bytes);
    auto taken = std::size_t{0};
    while (taken < now.buffer.size() && !now.parser->is_done())
    {
        auto const used = now.put(std::string_view{now.buffer}.substr(taken));
        if (!used)
        {
            return tl::unexpected(used.error());
        }
        if (*used == 0)
        {
            break;
        }
        taken += *used;
    }
    now.buffer.erase(0, taken);
    // The parser takes bytes of a body at once, so that what is left belongs to
    // a line or a block of lines that has not ended.
    auto const has_no_end = !now.parser->is_done() &&
                            now.buffer.size() > max_unparsed_response_bytes;
    if (has_no_end)
    {
        return tl::unexpected(
            std::string{"the response holds a line that does not end"});
    }
    return {};
}

auto response_parser::feed_end() -> void
{
    auto error = boost::system::error_code{};
    if (state_->parser->is_header_done())
    {
        // An error leaves the response incomplete, which is what it means.
        state_->parser->put_eof(error);
    }
}

auto response_parser::head() const -> std::optional<response_head> const&
{
    return state_->head;
}

auto response_parser::take_body() -> std::string
{
    return std::exchange(state_->parser->get().body(), std::string{});
}

auto response_parser::complete() const -> bool
{
    return state_->head.has_value() && state_->parser->is_done();
}

auto response_parser::has_excess() const -> bool
{
    return complete() && !state_->buffer.empty();
}

auto response_parser::take_excess() -> std::string
{
    return complete() ? std::exchange(state_->buffer, std::string{})
                      : std::string{};
}

auto response_parser::ends_with_connection() const -> bool
{
    return state_->parser->is_header_done() && state_->parser->need_eof();
}

} // namespace sapphirereel::http
