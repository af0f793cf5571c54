#include "sapphirereel/http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace sapphirereel::http {
namespace {

constexpr auto hop_by_hop_names = std::array<std::string_view, 9>{
    "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
    "transfer-encoding", "upgrade",    "content-length",   "expect"};

auto lower(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
}

auto append_fields(std::string& text, field_list const& fields) -> void
{
    for (auto const& each : fields)
    {
        text.append(each.name).append(": ").append(each.value).append("\r\n");
    }
    text.append("\r\n");
}

auto decode_escapes(std::string_view text) -> std::string
{
    auto decoded = std::string{};
    for (auto at = std::size_t{0}; at < text.size(); ++at)
    {
        auto code = 0;
        auto const escaped =
            text[at] == '%' && at + 2 < text.size() &&
            std::from_chars(
                text.data() + at + 1, text.data() + at + 3, code, 16)
                    .ptr == text.data() + at + 3;
        decoded.push_back(escaped ? static_cast<char>(code) : text[at]);
        at += escaped ? 2 : 0;
    }
    return decoded;
}

} // namespace

auto same_name(std::string_view left, std::string_view right) -> bool
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](char a, char b) { return lower(a) == lower(b); });
}

auto find(field_list const& fields, std::string_view name)
    -> std::optional<std::string_view>
{
    for (auto const& each : fields)
    {
        if (same_name(each.name, name))
        {
            return each.value;
        }
    }
    return std::nullopt;
}

auto count(field_list const& fields, std::string_view name) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(fields.begin(), fields.end(), [&](field const& each) {
            return same_name(each.name, name);
        }));
}

auto is_hop_by_hop(std::string_view name) -> bool
{
    return std::any_of(
        hop_by_hop_names.begin(), hop_by_hop_names.end(),
        [&](std::string_view each) { return same_name(each, name); });
}

auto reason_of(int status) -> std::string_view
{
    switch (status)
    {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

auto write_head(int status, std::string_view reason, field_list const& fields)
    -> std::string
{
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", status, reason);
    append_fields(text, fields);
    return text;
}

auto write_response(int status, field_list fields, std::string_view body)
    -> std::string
{
    fields.push_back({"Content-Length", std::to_string(body.size())});
    auto text = write_head(status, reason_of(status), fields);
    text.append(body);
    return text;
}

auto write_request(
    std::string_view method,
    std::string_view target,
    field_list const& fields,
    std::string_view body) -> std::string
{
    auto text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
    auto const without_body =
        body.empty() &&
        (method == "GET" || method == "HEAD" || method == "DELETE");
    if (!without_body)
    {
        text.append(fmt::format("Content-Length: {}\r\n", body.size()));
    }
    append_fields(text, fields);
    text.append(body);
    return text;
}

auto write_chunk(std::string_view bytes) -> std::string
{
    auto text = fmt::format("{:x}\r\n", bytes.size());
    text.append(bytes).append("\r\n");
    return text;
}

auto query_value(std::string_view target, std::string_view key)
    -> std::optional<std::string>
{
    auto const mark = target.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view{}
                                               : target.substr(mark + 1);
    while (!rest.empty())
    {
        auto const end = std::min(rest.find('&'), rest.size());
        auto const pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        auto const equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == key)
        {
            return decode_escapes(
                pair.substr(std::min(equals + 1, pair.size())));
        }
    }
    return std::nullopt;
}

} // namespace sapphirereel::http
