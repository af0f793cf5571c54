#include "sapphirereel/http/request_parser.hpp"

#include "arriving_body.hpp"
#include "folded_line.hpp"
#include "parser_input.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <limits>
#include <utility>

namespace sapphirereel::http {
namespace {

namespace beast = boost::beast::http;

using beast_parser = beast::request_parser<arriving_body>;

/// Largest buffer that is kept for the next request, in bytes.
constexpr auto kept_buffer_bytes = std::size_t{4'096};

/// How often a head is in memory while its body arrives: the library's fields
/// and the request's own, each with an overhead for every field.
constexpr auto copies_of_head = std::size_t{3};

/// Bytes that a string has allocated.
auto heap_bytes(std::string const& text) -> std::size_t
{
    auto const is_inside = text.capacity() <= std::string{}.capacity();
    return is_inside ? 0 : text.capacity();
}

/// What in a parsed head makes its framing or its destination ambiguous.
auto find_ambiguity(request const& head) -> std::optional<std::string>
{
    if (count(head.fields, "host") != 1)
    {
        return "the request needs exactly one Host field";
    }
    auto const lengths = count(head.fields, "content-length");
    auto const codings = count(head.fields, "transfer-encoding");
    if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1))
    {
        return "the length of the body is given more than once";
    }
    auto const coding = find(head.fields, "transfer-encoding");
    if (coding && !same_name(*coding, "chunked"))
    {
        return "the only transfer coding taken is chunked";
    }
    return std::nullopt;
}

} // namespace

struct request_parser::state
{
    message_limits limits;
    std::string buffer;
    std::optional<beast_parser> parser;
    request head;
    std::size_t head_bytes = 0;
    bool continue_wanted = false;

    /// Gives the memory of a large buffer back once it is empty.
    auto shrink_buffer() -> void
    {
        if (buffer.empty() && buffer.capacity() > kept_buffer_bytes)
        {
            buffer = std::string{};
        }
    }
};

request_parser::request_parser()
    : state_(std::make_unique<state>())
{}
request_parser::~request_parser() = default;
request_parser::request_parser(request_parser&&) noexcept = default;
auto request_parser::operator=(request_parser&&) noexcept
    -> request_parser& = default;

auto request_parser::set_limits(message_limits limits) -> void
{
    state_->limits = limits;
}

auto request_parser::append(std::string_view bytes) -> void
{
    state_->buffer.append(bytes);
}

auto request_parser::has_partial() const -> bool
{
    return state_->parser.has_value() || !state_->buffer.empty();
}

auto request_parser::take_continue_wanted() -> bool
{
    return std::exchange(state_->continue_wanted, false);
}

auto request_parser::waiting_bytes() const -> std::size_t
{
    return state_->buffer.size();
}

auto request_parser::is_reading_body() const -> bool
{
    return state_->parser.has_value();
}

auto request_parser::body_bytes() const -> std::size_t
{
    return state_->parser ? state_->parser->get().body().size() : 0;
}

auto request_parser::held_bytes() const -> std::size_t
{
    auto const& now = *state_;
    auto const body = now.parser ? heap_bytes(now.parser->get().body()) : 0;
    return heap_bytes(now.buffer) + now.head_bytes * copies_of_head + body;
}

auto request_parser::clear() -> void
{
    auto const limits = state_->limits;
    state_ = std::make_unique<state>();
    state_->limits = limits;
}

namespace {

/// The version of HTTP, times ten, that introduced chunks.
constexpr auto first_chunked_version = 11U;

auto read_fields(beast_parser const& parser) -> request
{
    auto head = request{};
    auto const& message = parser.get();
    head.method = std::string{message.method_string()};
    head.target = std::string{message.target()};
    head.keep_alive = parser.keep_alive();
    head.accepts_chunks = message.version() >= first_chunked_version;
    for (auto const& each : message)
    {
        head.fields.push_back(
            {std::string{each.name_string()}, std::string{each.value()}});
    }
    return head;
}

auto status_of(boost::system::error_code const& error) -> int
{
    if (error == beast::error::body_limit)
    {
        return 413;
    }
    return error == beast::error::header_limit ? 431 : 400;
}

} // namespace

auto request_parser::next()
    -> tl::expected<std::optional<request>, request_error>
{
    auto& now = *state_;
    auto error = boost::system::error_code{};
    if (!now.parser)
    {
        // Empty lines before a request line are allowed and mean nothing.
        while (now.buffer.starts_with("\r\n"))
        {
            now.buffer.erase(0, 2);
        }
        auto const end = now.buffer.find("\r\n\r\n");
        auto const head_size =
            end == std::string::npos ? now.buffer.size() : end + 4;
        if (head_size > now.limits.head_bytes)
        {
            return tl::unexpected(
                request_error{431, "the head of the request is too long"});
        }
        if (end == std::string::npos)
        {
            return std::nullopt;
        }
        if (has_folded_line(std::string_view{now.buffer}.substr(0, end)))
        {
            return tl::unexpected(
                request_error{400, "a header field spans several lines"});
        }
        now.parser.emplace();
        now.parser->header_limit(std::numeric_limits<std::uint32_t>::max());
        now.parser->body_limit(now.limits.body_bytes);
        now.parser->eager(true);
        auto const head = std::string_view{now.buffer}.substr(0, head_size);
        auto const used = put_bytes(*now.parser, head, error);
        if (error && error != beast::error::need_more)
        {
            return tl::unexpected(
                request_error{status_of(error), error.message()});
        }
        now.buffer.erase(0, used);
        now.head_bytes = head_size;
        now.head = read_fields(*now.parser);
        if (auto const why = find_ambiguity(now.head))
        {
            return tl::unexpected(request_error{400, *why});
        }
        auto const expectation = find(now.head.fields, "expect");
        now.continue_wanted =
            expectation && same_name(*expectation, "100-continue");
    }
    while (!now.parser->is_done() && !now.buffer.empty())
    {
        error.clear();
        auto const used = put_bytes(*now.parser, now.buffer, error);
        now.buffer.erase(0, used);
        if (error == beast::error::need_more)
        {
            break;
        }
        if (error)
        {
            return tl::unexpected(
                request_error{status_of(error), error.message()});
        }
    }
    now.shrink_buffer();
    if (!now.parser->is_done())
    {
        // The parser takes bytes of a body at once, so that what is left is a
        // size line or a trailer that has not ended.
        if (now.buffer.size() > max_body_framing_bytes)
        {
            return tl::unexpected(request_error{
                400, "the body holds a chunk header or trailer without end"});
        }
        return std::nullopt;
    }
    now.head.body = std::move(now.parser->get().body());
    now.parser.reset();
    now.head_bytes = 0;
    now.continue_wanted = false;
    return std::exchange(now.head, request{});
}

} // namespace sapphirereel::http
